/**
 * Entries that exchange their reports through one store and share backend servers, each in a process of its
 * own on loopback. Each of them can be cut off from all backend servers.
 */
import { request as sendRequest } from 'node:http';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import { storeSettingsSchema, type Milliseconds } from '@hornbeampond/schema';
import { MemoryDisk, StoreProcess } from '@hornbeampond/store-app';
import { FakeEngine, FakePlainService, FakePlatform, type CutKind } from '@hornbeampond/testing';
import { OperatorClient } from '@hornbeampond/ctl-app';
import { digestKey } from '@hornbeampond/transport';
import { DEV_DATA_CENTRE, devKeys, devPools, devRoutes } from '../devTables.js';
import { EntryChild } from './EntryChild.js';

const HOST = '127.0.0.1';
const READY_TIMEOUT_MILLISECONDS = 10_000;
const CHECK_INTERVAL_MILLISECONDS = 20;

/** What a caller may wait for an answer. */
const CALLER_PATIENCE_MILLISECONDS: Milliseconds = 2500;

const SERVER_COUNT = 3;
const OK = 200;

export class EntryGroup {
  private readonly timers: TimerService = new SystemTimerService();

  private readonly platform = new FakePlatform();

  readonly services: FakePlainService[] = [];

  private readonly engines: FakeEngine[] = [];

  private readonly entries: EntryChild[] = [];

  private store: StoreProcess | undefined;

  private callCount = 0;

  /** @param dataCentres - Of the entries, in their order. */
  static async start(dataCentres: readonly string[]): Promise<EntryGroup> {
    const group = new EntryGroup();
    try {
      await group.startAll(dataCentres);
    } catch (error) {
      await group.close();
      throw error;
    }
    return group;
  }

  /** Cuts an entry off from all backend servers. */
  async cutOff(entry: number, kind: CutKind): Promise<void> {
    await this.entryAt(entry).setCut(kind);
  }

  /** Status of an entry, as its operators read it. */
  async readStatus(entry: number) {
    const { ports } = this.entryAt(entry);
    const client = new OperatorClient(`http://${HOST}:${ports.operators}`, devKeys.operator);
    const status = await client.getStatus();
    await client.close();
    return status;
  }

  /**
   * Sends requests to an entry one after the other, each on a connection of its own, and returns how
   * many were answered whole at the first attempt.
   */
  async countServed(entry: number, count: number, kind: 'stream' | 'call'): Promise<number> {
    const answers = await Promise.all(
      Array.from({ length: count }, async (_, index) => {
        await this.timers.wait(index * CHECK_INTERVAL_MILLISECONDS);
        return this.isServed(entry, kind);
      }),
    );
    return answers.filter(Boolean).length;
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => entry.close()));
    await this.store?.close();
    await Promise.all([...this.services, ...this.engines].map(async (server) => server.close()));
    await this.platform.close();
  }

  private async startAll(dataCentres: readonly string[]): Promise<void> {
    await this.startServers();
    const storePort = await this.startStore();
    const started = dataCentres.map(async (dataCentre, index) =>
      this.startEntry(`entry-${index + 1}`, dataCentre, storePort),
    );
    this.entries.push(...(await Promise.all(started)));
    await this.putTables();
    await this.waitUntilServing();
  }

  private entryAt(entry: number): EntryChild {
    const member = this.entries[entry];
    if (member === undefined) throw new RangeError(`there is no entry ${entry}`);
    return member;
  }

  private async startServers(): Promise<void> {
    await this.platform.restart();
    const model = devPools[0]?.model ?? '';
    for (let number = 1; number <= SERVER_COUNT; number += 1) {
      const service = await FakePlainService.start({ instance: `service-${number}` });
      const engine = await FakeEngine.start({ instance: `engine-${number}`, model, tokenDelay: 5 });
      this.services.push(service);
      this.engines.push(engine);
      this.list(service, 'bookings', 'fake-service');
      this.list(engine, 'assistants', 'fake-engine');
    }
  }

  private list(server: FakePlainService | FakeEngine, pool: string, instanceClass: string): void {
    const { instance, host, port } = server;
    const listed = { instance, dataCentre: DEV_DATA_CENTRE, instanceClass, pool, host, port };
    this.platform.add({ ...listed, state: 'live' }, server);
  }

  private commonSettings(instance: string, storePort: number) {
    return {
      instance,
      dataCentre: DEV_DATA_CENTRE,
      cluster: 'group',
      clusterSecret: 'secret-of-the-group',
      logLevel: 'error',
      operatorListen: { host: HOST, port: 0 },
      operatorKeys: [{ name: 'dev', keySha256: digestKey(devKeys.operator) }],
      stores: [{ instance: 'store-1', dataCentre: DEV_DATA_CENTRE, host: HOST, port: storePort }],
    };
  }

  private async startStore(): Promise<number> {
    const settings = storeSettingsSchema.parse({
      ...this.commonSettings('store-1', 1),
      listen: { host: HOST, port: 0 },
      dataFolder: '(memory)',
    });
    this.store = new StoreProcess(settings, this.timers, new MemoryDisk());
    const { peers } = await this.store.start();
    this.store.foundCluster();
    return peers;
  }

  private async startEntry(
    instance: string,
    dataCentre: string,
    storePort: number,
  ): Promise<EntryChild> {
    const settings = {
      ...this.commonSettings(instance, storePort),
      dataCentre,
      listen: { host: HOST, port: 0 },
      peerListen: { host: HOST, port: 0 },
      tunnelListen: { host: HOST, port: 0 },
      workspaces: [{ name: 'dev', keySha256: digestKey(devKeys.workspace) }],
      platform: { url: this.platform.url, pollMilliseconds: 100 },
      balancerDelayMilliseconds: 0,
    };
    return EntryChild.start(settings);
  }

  private async putTables(): Promise<void> {
    const { operators } = this.entryAt(0).ports;
    const client = new OperatorClient(`http://${HOST}:${operators}`, devKeys.operator);
    const put = async (table: 'pools' | 'routes', rows: readonly unknown[]) =>
      client.putTable({ table, baseRevision: 0, changeId: `group-${table}`, rows });
    await put('pools', devPools);
    await put('routes', devRoutes);
    await client.close();
  }

  private async waitUntilServing(): Promise<void> {
    const endsAt = this.timers.monotonicNow() + READY_TIMEOUT_MILLISECONDS;
    for (let entry = 0; entry < this.entries.length; entry += 1) {
      while (!(await this.isServed(entry, 'stream')) || !(await this.isServed(entry, 'call'))) {
        if (this.timers.monotonicNow() > endsAt)
          throw new Error('the entries are not ready in time');
        await this.timers.wait(CHECK_INTERVAL_MILLISECONDS);
      }
    }
  }

  private async isServed(entry: number, kind: 'stream' | 'call'): Promise<boolean> {
    const { callers: port } = this.entryAt(entry).ports;
    this.callCount += 1;
    const path = kind === 'stream' ? '/v1/chat/completions' : '/reservations';
    const headers = {
      authorization: `Bearer ${devKeys.workspace}`,
      'content-type': 'application/json',
      'idempotency-key': `call-${this.callCount}`,
    };
    const messages = [{ role: 'user', content: `question ${this.callCount}` }];
    const body = JSON.stringify({ stream: true, max_tokens: 5, messages });
    const signal = AbortSignal.timeout(CALLER_PATIENCE_MILLISECONDS);
    return new Promise((resolve) => {
      const options = { host: HOST, port, path, method: 'POST', headers, signal, agent: false };
      const call = sendRequest(options, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on('error', () => resolve(false));
        // A response that is aborted just before its end has neither an error nor an end.
        response.on('close', () => resolve(false));
        response.on('end', () => {
          const isWhole = kind === 'call' || text.trimEnd().endsWith('data: [DONE]');
          resolve(response.statusCode === OK && isWhole && !text.includes('event: error'));
        });
      });
      call.on('error', () => resolve(false));
      call.end(body);
    });
  }
}
