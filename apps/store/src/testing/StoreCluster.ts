/** A cluster of stores with disks in memory, and its clients, in one process over loopback. */
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type {
  Configuration,
  InstanceReport,
  Milliseconds,
  ProcessAddress,
} from '@hornbeampond/schema';
import { StoreClient, type PeerContext } from '@hornbeampond/transport';
import type { FoundingOutcome } from '../Founding.js';
import type { StoreDisk } from '../StoreDisk.js';
import { StoreProcess, type StoreFailure } from '../StoreProcess.js';
import { MemoryDisk } from './MemoryDisk.js';
import { LOOPBACK, StoreLinks } from './StoreLinks.js';

/** Name and secret with which processes may connect to these stores. */
export const testCluster = {
  cluster: 'tested',
  clusterSecret: 'secret-of-the-tested-cluster',
} as const;

const WAIT_TIMEOUT_MILLISECONDS = 8000;
const POLL_INTERVAL_MILLISECONDS = 10;

/** Resolves with the first defined value of `poll`; rejects after a timeout. */
export async function waitFor<Value>(
  description: string,
  poll: () => Value | undefined | Promise<Value | undefined>,
): Promise<Value> {
  const endsAt = Date.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (Date.now() < endsAt) {
    const value = await poll();
    if (value !== undefined) return value;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
    });
  }
  throw new Error(`${description}: not within ${WAIT_TIMEOUT_MILLISECONDS} ms`);
}

interface TestStore {
  readonly instance: string;
  readonly dataCentre: string;
  disk: StoreDisk;
  process: StoreProcess | undefined;
  /** 0 until its first start. */
  port: number;
  /** The stores that its settings name; if undefined, those of the cluster. */
  seeds: readonly string[] | undefined;
}

/** A client together with every configuration that it received, in order. */
export interface TestClient {
  readonly client: StoreClient;
  readonly configurations: Configuration[];
}

export class StoreCluster {
  readonly links = new StoreLinks();

  readonly failures: StoreFailure[] = [];

  private readonly timers = new SystemTimerService();

  private readonly stores: TestStore[];

  private readonly clients: StoreClient[] = [];

  private readonly duplicates: StoreProcess[] = [];

  private constructor(
    dataCentres: readonly string[],
    private readonly silentStoreMilliseconds: Milliseconds,
    private readonly seeds: readonly string[] | undefined,
    private readonly leastVoters: number,
  ) {
    this.stores = dataCentres.map((dataCentre, position) => ({
      instance: `store-${position + 1}`,
      dataCentre,
      disk: new MemoryDisk(),
      process: undefined,
      port: 0,
      seeds: undefined,
    }));
  }

  /**
   * Starts one store for each given data centre; resolves once all of them are voters. The settings of
   * each store name the given seeds, or all others.
   */
  static async start(
    dataCentres: readonly string[],
    silentStoreMilliseconds: Milliseconds = 0,
    seeds?: readonly string[],
  ): Promise<StoreCluster> {
    const cluster = new StoreCluster(dataCentres, silentStoreMilliseconds, seeds, 1);
    for (const { instance } of cluster.stores) await cluster.open(instance);
    cluster.findStore('store-1').process?.foundCluster();
    await cluster.waitForVoters(dataCentres.length);
    return cluster;
  }

  /** One store for each given data centre, none of them started. */
  static prepare(dataCentres: readonly string[], leastVoters: number): StoreCluster {
    return new StoreCluster(dataCentres, 0, undefined, leastVoters);
  }

  /** Lets a running store found a cluster if the others know none. */
  async found(instance: string): Promise<FoundingOutcome> {
    const { process } = this.findStore(instance);
    if (process === undefined) throw new Error(`${instance} does not run`);
    return process.foundIfNoneExists();
  }

  /** Starts a store on its disk, or on the given one from now on. */
  async open(instance: string, disk?: StoreDisk): Promise<void> {
    const store = this.findStore(instance);
    if (disk !== undefined) store.disk = disk;
    const process = await this.makeProcess(store, store.disk, store.port);
    store.port = (await process.start()).peers;
    store.process = process;
    this.links.setPort(instance, store.port);
  }

  /** The seeds in the settings of one store from its next start on. */
  setSeeds(instance: string, seeds: readonly string[]): void {
    this.findStore(instance).seeds = seeds;
  }

  /** Changes the seeds of a running store, as a changed boot file does. */
  useSeeds(instance: string, seeds: readonly string[]): void {
    this.setSeeds(instance, seeds);
    this.findStore(instance).process?.useStores(this.addressesOf(seeds));
  }

  /** Adds a store with a name of its own, to be opened. */
  add(instance: string, seeds: readonly string[]): void {
    const dataCentre = 'wien-a';
    const disk = new MemoryDisk();
    this.stores.push({ instance, dataCentre, disk, process: undefined, port: 0, seeds });
  }

  /** Closes and starts stores in turn until `instance` leads, or one of the given ones. */
  async makeLeader(...instances: string[]): Promise<string> {
    for (;;) {
      const leader = await this.waitForLeader();
      if (instances.includes(leader)) return leader;
      await this.close(leader);
      await this.waitForLeader(leader);
      await this.open(leader);
    }
  }

  /** Starts a second process with the name of a running store, on an empty disk. */
  async openDuplicate(instance: string): Promise<StoreProcess> {
    const process = await this.makeProcess(this.findStore(instance), new MemoryDisk(), 0);
    await process.start();
    this.duplicates.push(process);
    return process;
  }

  private async makeProcess(
    { instance, dataCentre }: TestStore,
    disk: StoreDisk,
    port: number,
  ): Promise<StoreProcess> {
    return new StoreProcess(
      {
        instance,
        dataCentre,
        ...testCluster,
        logLevel: 'error',
        operatorListen: { host: LOOPBACK, port: 0 },
        operatorKeys: [],
        stores: await this.addressesSeenFrom(instance),
        listen: { host: LOOPBACK, port },
        dataFolder: 'none',
        electionTimeoutMilliseconds: 300,
        heartbeatMilliseconds: 50,
        leastVoters: this.leastVoters,
        silentStoreMilliseconds: this.silentStoreMilliseconds,
        peerHeartbeatMilliseconds: 1000,
      },
      this.timers,
      disk,
      (_, failure) => {
        if (failure === 'diskRestored') void this.restart(instance);
        else this.failures.push(failure);
      },
    );
  }

  /** Starts a store again whose process has ended by itself, as its supervisor does. */
  private async restart(instance: string): Promise<void> {
    await this.close(instance);
    await this.open(instance);
  }

  /** The disk of a store, in memory unless a test has given it another one. */
  diskOf(instance: string): StoreDisk {
    return this.findStore(instance).disk;
  }

  async close(instance: string): Promise<void> {
    const store = this.findStore(instance);
    const { process } = store;
    store.process = undefined;
    await process?.close();
  }

  async stop(): Promise<void> {
    this.clients.forEach((client) => client.close());
    await Promise.all(this.duplicates.map(async (process) => process.close()));
    await Promise.all(this.stores.map(async ({ instance }) => this.close(instance)));
    await this.links.close();
  }

  /** Connects a client to all stores, or to the given ones, and subscribes it to the configuration. */
  connect(name: string, instances = this.stores.map(({ instance }) => instance)): TestClient {
    const configurations: Configuration[] = [];
    const addresses = this.addressesOf(instances);
    const report: InstanceReport = {
      instance: name,
      dataCentre: 'wien-b',
      role: 'entry',
      revision: 0,
      cutOff: false,
    };
    const handlers = {
      onConfiguration: (configuration: Configuration) => configurations.push(configuration),
    };
    const client = new StoreClient(addresses, this.contextOf(name), handlers, report);
    this.clients.push(client);
    return { client, configurations };
  }

  /** Waits until the leader with the highest term is not `except`, and returns it. */
  async waitForLeader(except?: string): Promise<string> {
    return waitFor('a leader', async () => {
      const leading = (await this.readStatus()).filter(({ role }) => role === 'leader');
      const newest = leading.sort((a, b) => b.term - a.term)[0];
      return newest?.instance === except ? undefined : newest?.instance;
    });
  }

  /** Waits until all running stores, or only `observer`, see this many voters and no learner. */
  async waitForVoters(count: number, observer?: string): Promise<void> {
    await waitFor(`${count} voters`, async () => {
      const statuses = (await this.readStatus()).filter(
        ({ instance }) => observer === undefined || instance === observer,
      );
      // The weight of a learner makes the sum too large.
      const all = statuses.every(
        ({ voters, learners }) => voters.length + learners.length * 100 === count,
      );
      return statuses.length > 0 && all ? true : undefined;
    });
  }

  private async readStatus() {
    const running = this.stores.filter(({ process }) => process !== undefined);
    const client = new StoreClient(
      running.map((store) => this.addressOf(store)),
      this.contextOf('watcher'),
    );
    try {
      // Its connections open within a few milliseconds.
      for (let tries = 0; tries < 100; tries += 1) {
        const statuses = await client.readStatus();
        if (statuses.length === running.length) return statuses;
        await new Promise((resolve) => {
          setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
        });
      }
      throw new Error('a running store does not answer');
    } finally {
      client.close();
    }
  }

  /** The instances of the voters, as seen by one store. */
  async readVoters(observer: string): Promise<readonly string[]> {
    const statuses = await this.readStatus();
    return statuses.find(({ instance }) => instance === observer)?.voters ?? [];
  }

  private findStore(instance: string): TestStore {
    const store = this.stores.find((known) => known.instance === instance);
    if (store === undefined) throw new Error(`no store ${instance}`);
    return store;
  }

  addressesOf(instances: readonly string[]): ProcessAddress[] {
    return instances.map((instance) => this.addressOf(this.findStore(instance)));
  }

  private addressOf({ instance, dataCentre, port }: TestStore): ProcessAddress {
    return { instance, dataCentre, host: LOOPBACK, port };
  }

  private async addressesSeenFrom(instance: string): Promise<ProcessAddress[]> {
    const seeds = this.findStore(instance).seeds ?? this.seeds;
    const others = this.stores.filter(
      (store) => store.instance !== instance && (seeds?.includes(store.instance) ?? true),
    );
    return Promise.all(
      others.map(async (store) => ({
        ...this.addressOf(store),
        port: await this.links.open(instance, store.instance),
      })),
    );
  }

  private contextOf(instance: string): PeerContext {
    return {
      identity: { cluster: testCluster.cluster, instance, dataCentre: 'wien-b', role: 'entry' },
      secret: testCluster.clusterSecret,
      timers: this.timers,
      logger: new Logger({ process: 'test', instance }, 'error'),
    };
  }
}
