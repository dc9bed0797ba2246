/**
 * A cluster of the real binaries on loopback, with the fakes in a process of their own. Tests and
 * measurements start it; the product starts no process.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { OperatorClient } from '@hornbeampond/ctl-app';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type { Pool, Route, ProcessAddress } from '@hornbeampond/schema';
import { ChildProcess, type FakeClusterInput } from '@hornbeampond/testing';
import { digestKey, type PeerContext } from '@hornbeampond/transport';
import { stringify } from 'smol-toml';
import { request as httpRequest } from 'undici';
import { DataCentreLinks } from './DataCentreLinks.js';
import { findFreePort } from './findFreePorts.js';

const HOST = '127.0.0.1';
const SECRET = 'measured-cluster-secret';
const CLUSTER = 'measured';
const DEFAULT_POLL_MILLISECONDS = 200;
const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');

const binaries = {
  store: join(root, 'apps/store/bin/hornbeampond-store.js'),
  entry: join(root, 'apps/entry/bin/hornbeampond-entry.js'),
  controller: join(root, 'apps/controller/bin/hornbeampond-controller.js'),
  fakes: join(root, 'packages/testing/bin/hornbeampond-fakes.js'),
} as const;

/** Keys of the workspaces and the operator. */
export const clusterKeys = { operator: 'operator-key', workspace: 'workspace-key' } as const;

export interface Placed {
  readonly dataCentre: string;
}

export interface ProcessClusterOptions {
  readonly stores: readonly Placed[];
  readonly entries: readonly Placed[];
  readonly controllers: readonly Placed[];
  readonly fakes: FakeClusterInput;
  readonly pools: readonly Pool[];
  readonly routes: readonly Route[];
  readonly workspaces?: readonly string[];
  /** How often entries and controllers read the platform's list and the load of servers. */
  readonly pollMilliseconds?: number;
  /** True: connections between data centres pass through forwarders, which `cut` can stop. */
  readonly forwarded?: boolean;
}

interface EntryPorts extends ProcessAddress {
  readonly callersPort: number;
  readonly operatorsPort: number;
}

interface FakeAddresses {
  readonly control: string;
  readonly platform: string;
  readonly weightStore: string;
}

async function place(role: string, placed: readonly Placed[]): Promise<ProcessAddress[]> {
  const addresses: ProcessAddress[] = [];
  for (const { dataCentre } of placed) {
    const number = addresses.length + 1;
    const instance = `${role}-${number}`;
    addresses.push({ instance, dataCentre, host: HOST, port: await findFreePort() });
  }
  return addresses;
}

export class ProcessCluster {
  readonly processes = new Map<string, ChildProcess>();

  private readonly folder = mkdtempSync(join(tmpdir(), 'hornbeampond-'));

  private stores: ProcessAddress[] = [];

  private entries: EntryPorts[] = [];

  private controllers: ProcessAddress[] = [];

  private readonly operatorPorts = new Map<string, number>();

  private fakes: FakeAddresses | undefined;

  private readonly links = new DataCentreLinks();

  private constructor(private readonly options: ProcessClusterOptions) {}

  /** Starts everything and puts the tables; resolves once they are in force on every entry. */
  static async start(options: ProcessClusterOptions): Promise<ProcessCluster> {
    const cluster = new ProcessCluster(options);
    try {
      await cluster.startAll();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  find(name: string): ChildProcess {
    const found = this.processes.get(name);
    if (found === undefined) throw new Error(`no process ${name}`);
    return found;
  }

  get storeAddresses(): readonly ProcessAddress[] {
    return this.stores;
  }

  /** What a client within this process needs to talk to the cluster's stores. */
  makePeerContext(instance: string, dataCentre: string): PeerContext {
    return {
      identity: { cluster: CLUSTER, instance, dataCentre, role: 'entry' },
      secret: SECRET,
      timers: new SystemTimerService(),
      logger: new Logger({ process: 'measure', instance }, 'error'),
    };
  }

  /** Where callers reach an entry, by number from 1. */
  callersUrl(entry: number): string {
    return `http://${HOST}:${this.entries[entry - 1]?.callersPort}`;
  }

  operatorsUrl(name: string): string {
    return `http://${HOST}:${this.operatorPorts.get(name)}`;
  }

  operator(entry: number): OperatorClient {
    return new OperatorClient(this.operatorsUrl(`entry-${entry}`), clusterKeys.operator);
  }

  /** Tells a fake to do something; see `FakeControl`. */
  async control(name: string, action: string, settings: object = {}): Promise<void> {
    const url = `${this.fakes?.control}/control/${name}/${action}`;
    const response = await httpRequest(url, { method: 'POST', body: JSON.stringify(settings) });
    if (response.statusCode >= 300) throw new Error(`${action}: ${await response.body.text()}`);
    await response.body.dump();
  }

  /** What a fake has done. */
  async inspect(name: string): Promise<Record<string, unknown>> {
    const response = await httpRequest(`${this.fakes?.control}/control/${name}`);
    return (await response.body.json()) as Record<string, unknown>;
  }

  /** Starts a process again on its old settings and data. */
  async restart(name: string): Promise<void> {
    const [binary = ''] = this.find(name).options.command;
    await this.launch(name, binary);
    await this.find(name).waitForEvent('processReady');
  }

  /** Loses a store's disk; its process must not run. */
  loseDisk(store: string): void {
    rmSync(join(this.folder, `${store}-data`), { recursive: true });
  }

  logFile(name: string): string {
    return join(this.folder, `${name}.log`);
  }

  /** Cuts a data centre off from all others, silently, or heals the cut. */
  setCut(dataCentre: string, cut: boolean): void {
    this.links.setCut(dataCentre, cut);
  }

  /** Ends every process that is still there, and removes the folder. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map(async (child) => child.kill()));
    await this.links.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private get pollMilliseconds(): number {
    return this.options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
  }

  private async startAll(): Promise<void> {
    await this.startFakes();
    this.stores = await place('store', this.options.stores);
    this.controllers = await place('controller', this.options.controllers);
    for (const address of await place('entry', this.options.entries)) {
      const callersPort = await findFreePort();
      this.entries.push({ ...address, callersPort, operatorsPort: await findFreePort() });
    }
    await Promise.all(this.stores.map(async (address) => this.startStore(address)));
    await this.found();
    await Promise.all(this.entries.map(async (address) => this.startEntry(address)));
    await Promise.all(this.controllers.map(async (address) => this.startController(address)));
    await this.putTables();
  }

  private async startFakes(): Promise<void> {
    this.writeSettings('fakes', this.options.fakes);
    await this.launch('fakes', binaries.fakes);
    const child = this.find('fakes');
    while (child.output.length === 0) {
      await wait(20);
    }
    this.fakes = JSON.parse(child.output[0] ?? '{}') as FakeAddresses;
  }

  /** Addresses as a process of one data centre has to use them. */
  private async seenFrom(
    dataCentre: string,
    addresses: readonly ProcessAddress[],
  ): Promise<ProcessAddress[]> {
    return Promise.all(
      addresses.map(async (address) =>
        this.options.forwarded === true && address.dataCentre !== dataCentre
          ? this.links.forward(dataCentre, address)
          : address,
      ),
    );
  }

  private async commonSettings({ instance, dataCentre }: ProcessAddress, operatorsPort: number) {
    this.operatorPorts.set(instance, operatorsPort);
    return {
      instance,
      dataCentre,
      cluster: CLUSTER,
      clusterSecret: SECRET,
      logLevel: 'info',
      operatorListen: { host: HOST, port: operatorsPort },
      operatorKeys: [{ name: 'operator', keySha256: digestKey(clusterKeys.operator) }],
      stores: await this.seenFrom(dataCentre, this.stores),
    };
  }

  private async startStore(address: ProcessAddress): Promise<void> {
    const { instance, port } = address;
    this.writeSettings(instance, {
      ...(await this.commonSettings(address, await findFreePort())),
      listen: { host: HOST, port },
      dataFolder: join(this.folder, `${instance}-data`),
      electionTimeoutMilliseconds: 400,
      heartbeatMilliseconds: 60,
    });
    await this.launch(instance, binaries.store);
    await this.find(instance).waitForEvent('processReady');
  }

  /** Founds the cluster on the first store, and waits until all others vote. */
  private async found(): Promise<void> {
    const client = new OperatorClient(this.operatorsUrl('store-1'), clusterKeys.operator);
    await client.post('/store/found', {});
    for (;;) {
      const { stores } = await client.getStatus();
      if (stores[0]?.voters.length === this.stores.length) break;
      await wait(50);
    }
    await client.close();
  }

  private async startEntry(address: EntryPorts): Promise<void> {
    const { callersPort, operatorsPort, port, ...rest } = address;
    const workspaces = this.options.workspaces ?? ['first'];
    this.writeSettings(rest.instance, {
      ...(await this.commonSettings(address, operatorsPort)),
      listen: { host: HOST, port: callersPort },
      peerListen: { host: HOST, port },
      entries: await this.seenFrom(rest.dataCentre, this.entryAddresses()),
      workspaces: workspaces.map((name, position) => ({
        name,
        keySha256: digestKey(position === 0 ? clusterKeys.workspace : `${name}-key`),
      })),
      platform: { url: this.fakes?.platform, pollMilliseconds: this.pollMilliseconds },
      balancerDelayMilliseconds: 300,
      shutdownMilliseconds: 15_000,
    });
    await this.launch(rest.instance, binaries.entry);
    await this.find(rest.instance).waitForEvent('processReady');
  }

  private entryAddresses(): ProcessAddress[] {
    return this.entries.map(({ instance, dataCentre, host, port }) => ({
      instance,
      dataCentre,
      host,
      port,
    }));
  }

  private async startController(address: ProcessAddress): Promise<void> {
    const { instance, port } = address;
    this.writeSettings(instance, {
      ...(await this.commonSettings(address, await findFreePort())),
      peerListen: { host: HOST, port },
      controllers: await this.seenFrom(address.dataCentre, this.controllers),
      entries: await this.seenFrom(address.dataCentre, this.entryAddresses()),
      platform: { url: this.fakes?.platform, pollMilliseconds: this.pollMilliseconds },
      weightStore: { url: this.fakes?.weightStore },
      leaseMilliseconds: 2000,
    });
    await this.launch(instance, binaries.controller);
    await this.find(instance).waitForEvent('processReady');
  }

  private async putTables(): Promise<void> {
    const client = this.operator(1);
    const { pools, routes } = this.options;
    await client.putTable({ table: 'pools', baseRevision: 0, changeId: 'pools-1', rows: pools });
    const change = {
      table: 'routes',
      baseRevision: 0,
      changeId: 'routes-1',
      rows: routes,
    } as const;
    const revision = await client.putTable(change);
    await client.close();
    await this.waitForRevision(revision);
  }

  /** Waits until every entry that answers has the revision in force and lists a backend server. */
  async waitForRevision(revision: number): Promise<void> {
    await Promise.all(
      this.entries.map(async (_, position) => {
        const client = this.operator(position + 1);
        for (;;) {
          const status = await client.getStatus();
          const listed = status.backendServers.length > 0;
          if (status.configurationRevision >= revision && listed) break;
          await wait(20);
        }
        await client.close();
      }),
    );
  }

  private writeSettings(name: string, settings: object): void {
    mkdirSync(this.folder, { recursive: true });
    writeFileSync(join(this.folder, `${name}.toml`), stringify(settings));
  }

  private async launch(name: string, binary: string): Promise<void> {
    const settingsFile = join(this.folder, `${name}.toml`);
    const logFile = this.logFile(name);
    const command = [binary, '--settings', settingsFile];
    this.processes.set(name, new ChildProcess({ name, command, logFile }));
  }
}
