/**
 * A complete cluster in one process on loopback, for development and tests: one store, one entry,
 * one or more controllers, and fakes of the platform, the weight store and the backend servers.
 * All data is kept in memory only.
 */
import { HttpEngineAdapter, type InstanceStart } from '@hornbeampond/adapters';
import { ControllerProcess, type ControllerPolicy } from '@hornbeampond/controller-app';
import { EntryProcess, makeHttpDependencies, type EntryPorts } from '@hornbeampond/entry-app';
import { SystemTimerService, checkSettings, type TimerService } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  controllerSettingsSchema,
  entrySettingsSchema,
  storeSettingsSchema,
  type EntrySettings,
  type LogLevel,
} from '@hornbeampond/schema';
import { MemoryDisk, StoreProcess } from '@hornbeampond/store-app';
import {
  FakeEngine,
  FakePlainService,
  FakePlatform,
  FakeWeightStore,
  type FakeBackendServer,
  type FakeEngineOptions,
} from '@hornbeampond/testing';
import { OperatorClient } from '@hornbeampond/ctl-app';
import { digestKey } from '@hornbeampond/transport';
import type { z } from 'zod';
import { DEV_DATA_CENTRE, devKeys, devPools, devRoutes } from './devTables.js';

const HOST = '127.0.0.1';
const PLATFORM_POLL_MILLISECONDS = 100;
const TOKEN_DELAY_MILLISECONDS = 20;
const READY_TIMEOUT_MILLISECONDS = 10_000;
const READY_CHECK_MILLISECONDS = 20;

/** High enough that the few fake engines never wait for the weight store. */
const WEIGHT_STORE_LIMITS = { loadsPerMinute: 600, burst: 10 } as const;

export interface DevOptions {
  /** 0 selects any free port. */
  readonly callersPort: number;
  readonly operatorsPort: number;
  readonly logLevel: LogLevel;
  /** Options of all fake model engines, including those that a controller starts. */
  readonly engineOptions?: Omit<FakeEngineOptions, 'instance' | 'model'>;
  /** Number of controllers, of which only the lease holder acts; 1 by default. */
  readonly controllerCount?: number;
  readonly leaseMilliseconds?: number;
  /** Overrides tuning parameters of the controllers' decisions. */
  readonly policy?: Partial<ControllerPolicy>;
  /** How long the entry may take to shut down. */
  readonly shutdownMilliseconds?: number;
  /** Overrides limits of the entry. */
  readonly limits?: Partial<EntrySettings['limits']>;
}

/** The name of an instance to launch, and the pool that determines which server it runs. */
interface InstanceLaunch {
  readonly instance: string;
  readonly pool: string;
}

function parseSettings<Schema extends z.ZodType>(schema: Schema, values: unknown): z.infer<Schema> {
  const checked = checkSettings(schema, values);
  if (checked.ok) return checked.settings;
  throw new HornbeampondError(
    'internalError',
    'The settings of the development cluster are invalid',
    {
      faults: checked.faults,
    },
  );
}

/**
 * Loads the model that the pools table specifies; otherwise a controller would drain and reload the
 * engine right after the start. Epoch 0 is older than that of any lease.
 */
async function loadModel({ host, port }: FakeBackendServer): Promise<void> {
  const { model = '', version } = devPools[0] ?? {};
  const adapter = new HttpEngineAdapter({ host, port });
  const action = { type: 'load', model, ...(version === undefined ? {} : { version }) } as const;
  await adapter.sendOrder(
    { epoch: 0, sequence: 0, action },
    AbortSignal.timeout(READY_TIMEOUT_MILLISECONDS),
  );
  await adapter.close();
}

export class DevCluster {
  private readonly timers: TimerService = new SystemTimerService();

  readonly platform = new FakePlatform({
    launch: async ({ pool }: InstanceStart, instance) => this.launch({ instance, pool }),
  });

  readonly weightStore = new FakeWeightStore(WEIGHT_STORE_LIMITS);

  /** All engines in the order in which they were started, including stopped ones. */
  readonly engines: FakeEngine[] = [];

  readonly services: FakePlainService[] = [];

  readonly controllers: ControllerProcess[] = [];

  private store: StoreProcess | undefined;

  private readonly closeCallbacks: (() => Promise<void>)[] = [];

  constructor(private readonly options: DevOptions) {}

  /** Starts everything; resolves once a caller's request can be served. */
  async start(): Promise<EntryPorts> {
    await this.startExternalFakes();
    const storePort = await this.startStore();
    const ports = await this.startEntry(storePort);
    await this.putTablesAndWait(ports.operators);
    const { controllerCount = 1 } = this.options;
    for (let number = 1; number <= controllerCount; number += 1) {
      await this.startController(`controller-${number}`, storePort, ports.peers);
    }
    return ports;
  }

  async close(): Promise<void> {
    for (const close of this.closeCallbacks.splice(0).reverse()) await close();
  }

  /** Stops the only store; the entry and the controllers keep running without it. */
  async closeStore(): Promise<void> {
    await this.store?.close();
    this.store = undefined;
  }

  private async startExternalFakes(): Promise<void> {
    await this.platform.restart();
    this.closeCallbacks.push(async () => this.platform.close());
    await this.weightStore.restart();
    this.closeCallbacks.push(async () => this.weightStore.close());
    for (const number of [1, 2]) {
      await this.addEngine(`engine-${number}`);
      const service = await this.launch({ instance: `service-${number}`, pool: 'bookings' });
      this.addToPlatform(service, 'bookings', 'fake-service');
    }
  }

  /** Adds a live engine with its model loaded, without a start by a controller. */
  async addEngine(instance: string): Promise<void> {
    const engine = await this.launch({ instance, pool: 'assistants' });
    await loadModel(engine);
    this.addToPlatform(engine, 'assistants', 'fake-engine');
  }

  private async launch({ instance, pool }: InstanceLaunch): Promise<FakeBackendServer> {
    if (devPools.find(({ name }) => name === pool)?.kind === 'plainService') {
      const service = await FakePlainService.start({ instance });
      this.services.push(service);
      return service;
    }
    const engine = await FakeEngine.start({
      tokenDelay: TOKEN_DELAY_MILLISECONDS,
      ...this.options.engineOptions,
      instance,
    });
    this.engines.push(engine);
    return engine;
  }

  private addToPlatform(server: FakeBackendServer, pool: string, instanceClass: string): void {
    const { instance, host, port } = server;
    const listed = { instance, dataCentre: DEV_DATA_CENTRE, instanceClass, pool, host, port };
    this.platform.add({ ...listed, state: 'live' }, server);
  }

  private commonSettings(instance: string, storePort: number, operatorsPort: number) {
    return {
      instance,
      dataCentre: DEV_DATA_CENTRE,
      cluster: 'dev',
      clusterSecret: 'dev-cluster-secret',
      logLevel: this.options.logLevel,
      operatorListen: { host: HOST, port: operatorsPort },
      operatorKeys: [{ name: 'dev', keySha256: digestKey(devKeys.operator) }],
      stores: [{ instance: 'store-1', dataCentre: DEV_DATA_CENTRE, host: HOST, port: storePort }],
    };
  }

  private async startStore(): Promise<number> {
    const settings = parseSettings(storeSettingsSchema, {
      ...this.commonSettings('store-1', 1, 0),
      listen: { host: HOST, port: 0 },
      dataFolder: '(memory)',
    });
    const store = new StoreProcess(settings, this.timers, new MemoryDisk());
    const { peers } = await store.start();
    this.store = store;
    this.closeCallbacks.push(async () => this.closeStore());
    store.foundCluster();
    return peers;
  }

  private async startEntry(storePort: number): Promise<EntryPorts> {
    const { callersPort, operatorsPort, shutdownMilliseconds } = this.options;
    const settings = parseSettings(entrySettingsSchema, {
      ...this.commonSettings('entry-1', storePort, operatorsPort),
      listen: { host: HOST, port: callersPort },
      peerListen: { host: HOST, port: 0 },
      workspaces: [{ name: 'dev', keySha256: digestKey(devKeys.workspace) }],
      platform: {
        url: `http://${HOST}:${this.platform.port}`,
        pollMilliseconds: PLATFORM_POLL_MILLISECONDS,
      },
      balancerDelayMilliseconds: 0,
      limits: this.options.limits ?? {},
      ...(shutdownMilliseconds === undefined ? {} : { shutdownMilliseconds }),
    });
    const entry = new EntryProcess(settings, this.timers, makeHttpDependencies(settings));
    const ports = await entry.start();
    this.closeCallbacks.push(async () => entry.shutDown());
    return ports;
  }

  private async startController(
    instance: string,
    storePort: number,
    entryPort: number,
  ): Promise<void> {
    const { leaseMilliseconds } = this.options;
    const settings = parseSettings(controllerSettingsSchema, {
      ...this.commonSettings(instance, storePort, 0),
      peerListen: { host: HOST, port: 0 },
      entries: [{ instance: 'entry-1', dataCentre: DEV_DATA_CENTRE, host: HOST, port: entryPort }],
      weightStore: { url: this.weightStore.url },
      platform: {
        url: this.platform.url,
        pollMilliseconds: PLATFORM_POLL_MILLISECONDS,
      },
      ...(leaseMilliseconds === undefined ? {} : { leaseMilliseconds }),
    });
    const controller = new ControllerProcess(settings, this.timers, this.options.policy);
    await controller.start();
    this.controllers.push(controller);
    this.closeCallbacks.push(async () => controller.close());
  }

  private async putTablesAndWait(operatorsPort: number): Promise<void> {
    const client = new OperatorClient(`http://${HOST}:${operatorsPort}`, devKeys.operator);
    const put = async (table: 'pools' | 'routes', rows: readonly unknown[]) =>
      client.putTable({ table, baseRevision: 0, changeId: `dev-${table}`, rows });
    await put('pools', devPools);
    const revision = await put('routes', devRoutes);
    const endsAt = this.timers.monotonicNow() + READY_TIMEOUT_MILLISECONDS;
    while (!(await this.isServing(client, revision))) {
      if (this.timers.monotonicNow() > endsAt) {
        throw new HornbeampondError(
          'internalError',
          'The development cluster was not ready in time',
        );
      }
      await this.timers.wait(READY_CHECK_MILLISECONDS);
    }
    await client.close();
  }

  private async isServing(client: OperatorClient, revision: number): Promise<boolean> {
    const { configurationRevision, backendServers } = await client.getStatus();
    return (
      configurationRevision >= revision &&
      backendServers.length === this.engines.length + this.services.length
    );
  }
}
