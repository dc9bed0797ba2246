/**
 * The embedded default: every role and its outside world in one process on loopback. It serves
 * for a first look and for tests; nothing it stores outlives it.
 */
import { createHash } from 'node:crypto';
import { EntryProcess, type EntryPorts } from '@hornbeampond/entry-app';
import { SystemTimerService, checkSettings, type TimerService } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  entrySettingsSchema,
  storeSettingsSchema,
  type LogLevel,
} from '@hornbeampond/schema';
import { MemoryDisk, StoreProcess } from '@hornbeampond/store-app';
import {
  FakeEngine,
  FakePlainService,
  FakePlatform,
  type FakeBackendServer,
} from '@hornbeampond/testing';
import { OperatorClient } from '@hornbeampond/ctl-app';
import type { z } from 'zod';
import { DEV_DATA_CENTRE, devKeys, devPools, devRoutes } from './devTables.js';

const HOST = '127.0.0.1';
const POLL_MILLISECONDS = 100;
const TOKEN_DELAY_MILLISECONDS = 20;
const READY_MILLISECONDS = 10_000;
const LOOK_MILLISECONDS = 20;

export interface DevOptions {
  /** 0 takes any free port. */
  readonly callersPort: number;
  readonly operatorsPort: number;
  readonly logLevel: LogLevel;
}

function sha256(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function requireSettings<Schema extends z.ZodType>(
  schema: Schema,
  values: unknown,
): z.infer<Schema> {
  const checked = checkSettings(schema, values);
  if (checked.ok) return checked.settings;
  throw new HornbeampondError('internalError', 'The embedded settings have faults', {
    faults: checked.faults,
  });
}

export class DevCluster {
  private readonly timers: TimerService = new SystemTimerService();

  readonly platform = new FakePlatform();

  readonly engines: FakeEngine[] = [];

  readonly services: FakePlainService[] = [];

  private readonly closers: (() => Promise<void>)[] = [];

  constructor(private readonly options: DevOptions) {}

  /** Starts everything; resolves once a caller's request can be served. */
  async start(): Promise<EntryPorts> {
    await this.startOutside();
    const storePort = await this.startStore();
    const ports = await this.startEntry(storePort);
    await this.putTables(ports.operators);
    return ports;
  }

  async close(): Promise<void> {
    for (const close of [...this.closers].reverse()) await close();
  }

  private async startOutside(): Promise<void> {
    await this.platform.restart();
    this.closers.push(async () => this.platform.close());
    for (const number of [1, 2]) {
      const engine = await FakeEngine.start({
        instance: `engine-${number}`,
        model: 'dev-model',
        tokenDelay: TOKEN_DELAY_MILLISECONDS,
      });
      this.engines.push(engine);
      this.list(engine, 'assistants', 'fake-engine');
      const service = await FakePlainService.start({ instance: `service-${number}` });
      this.services.push(service);
      this.list(service, 'bookings', 'fake-service');
    }
  }

  private list(server: FakeBackendServer, pool: string, instanceClass: string): void {
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
      operatorKeys: [{ name: 'dev', keySha256: sha256(devKeys.operator) }],
      stores: [{ instance: 'store-1', dataCentre: DEV_DATA_CENTRE, host: HOST, port: storePort }],
    };
  }

  private async startStore(): Promise<number> {
    const settings = requireSettings(storeSettingsSchema, {
      ...this.commonSettings('store-1', 1, 0),
      listen: { host: HOST, port: 0 },
      dataFolder: '(memory)',
    });
    const store = new StoreProcess(settings, this.timers, new MemoryDisk());
    const { peers } = await store.start();
    this.closers.push(async () => store.close());
    store.found();
    return peers;
  }

  private async startEntry(storePort: number): Promise<EntryPorts> {
    const { callersPort, operatorsPort } = this.options;
    const settings = requireSettings(entrySettingsSchema, {
      ...this.commonSettings('entry-1', storePort, operatorsPort),
      listen: { host: HOST, port: callersPort },
      peerListen: { host: HOST, port: 0 },
      workspaces: [{ name: 'dev', keySha256: sha256(devKeys.workspace) }],
      platform: {
        url: `http://${HOST}:${this.platform.port}`,
        pollMilliseconds: POLL_MILLISECONDS,
      },
      balancerDelayMilliseconds: 0,
    });
    const entry = new EntryProcess(settings, this.timers);
    const ports = await entry.start();
    this.closers.push(async () => entry.shutDown());
    return ports;
  }

  private async putTables(operatorsPort: number): Promise<void> {
    const client = new OperatorClient(`http://${HOST}:${operatorsPort}`, devKeys.operator);
    const put = async (table: 'pools' | 'routes', rows: readonly unknown[]) =>
      client.putTable({ table, baseRevision: 0, changeId: `dev-${table}`, rows });
    await put('pools', devPools);
    const revision = await put('routes', devRoutes);
    const endsAt = this.timers.monotonicNow() + READY_MILLISECONDS;
    while (!(await this.isServing(client, revision))) {
      if (this.timers.monotonicNow() > endsAt) {
        throw new HornbeampondError('internalError', 'The embedded default did not get ready');
      }
      await this.timers.wait(LOOK_MILLISECONDS);
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
