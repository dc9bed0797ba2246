/**
 * Whether the copies of origins are made again while the entry that knows them runs: at stores that it did
 * not reach when the streams began, that have started anew without what they kept, or that have come in
 * place of others.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type {
  InstanceReport,
  ProcessAddress,
  StoreRequest,
  StoreResponse,
  StreamOrigin,
} from '@hornbeampond/schema';
import { PeerServer } from './PeerServer.js';
import { StoreClient } from './StoreClient.js';

const HOST = '127.0.0.1';
const STORES = 3;
const COPIES = 2;
const WAIT_LIMIT_MILLISECONDS = 5000;
const ANSWER_TIMEOUT_MILLISECONDS = 300;

const report: InstanceReport = {
  instance: 'entry-1',
  dataCentre: 'centre-1',
  role: 'entry',
  revision: 0,
  cutOff: false,
};

const origins: readonly StreamOrigin[] = Array.from({ length: 40 }, (_, number) => ({
  requestId: `request-${number}`,
  workspace: 'laden',
  pool: 'drafting',
  version: 'v1',
  lifetime: 60_000,
}));

function contextOf(instance: string, dataCentre: string, role: 'store' | 'entry') {
  return {
    identity: { cluster: 'tested', instance, dataCentre, role },
    secret: 'secret-of-the-tested-cluster',
    timers: new SystemTimerService(),
    logger: new Logger({ process: 'test', instance }, 'error'),
  };
}

/** One run of a store as far as origins go: what it keeps ends with its process. */
class StoreRun {
  readonly kept = new Map<string, StreamOrigin>();

  private readonly server: PeerServer;

  constructor(instance: string, dataCentre: string) {
    this.server = new PeerServer(contextOf(instance, dataCentre, 'store'), {
      onRequest: (_, body, respond) => this.handle(body as StoreRequest, respond),
    });
  }

  async listen(port: number): Promise<number> {
    return this.server.listen({ host: HOST, port });
  }

  async close(): Promise<void> {
    await this.server.close();
  }

  private handle(request: StoreRequest, respond: (response: StoreResponse) => void): void {
    if (request.type === 'report') respond({ type: 'accepted', keepsStreamOrigins: true });
    if (request.type === 'shareStreamOrigins') {
      request.origins.forEach((origin) => this.kept.set(origin.requestId, origin));
    }
    if (request.type === 'findStreamOrigin') {
      respond({ type: 'streamOrigin', origin: this.kept.get(request.requestId) });
    }
  }
}

async function waitUntil(what: string, isTrue: () => boolean): Promise<void> {
  const endsAt = Date.now() + WAIT_LIMIT_MILLISECONDS;
  while (!isTrue()) {
    assert.ok(Date.now() < endsAt, `not in time: ${what}`);
    await wait(5);
  }
}

/** Stores and the entries that use them. */
class OriginStores {
  private readonly addresses: ProcessAddress[] = [];

  private readonly runs = new Map<string, StoreRun>();

  private readonly clients: StoreClient[] = [];

  static async start(context: TestContext): Promise<OriginStores> {
    const stores = new OriginStores();
    for (let number = 1; number <= STORES; number += 1) await stores.add(number);
    context.after(async () => stores.close());
    return stores;
  }

  /** Starts a store in a data centre of its own, at a port of its own. */
  async add(number: number): Promise<void> {
    const [instance, dataCentre] = [`store-${number}`, `centre-${number}`];
    const run = new StoreRun(instance, dataCentre);
    const port = await run.listen(0);
    this.runs.set(instance, run);
    this.addresses.push({ instance, dataCentre, host: HOST, port });
  }

  async stop(number: number): Promise<void> {
    const instance = `store-${number}`;
    const run = this.runs.get(instance);
    this.runs.delete(instance);
    await run?.close();
  }

  /** Starts a store that was stopped, without what it kept. */
  async startAgain(number: number): Promise<void> {
    const instance = `store-${number}`;
    const run = new StoreRun(instance, `centre-${number}`);
    const { port = 0 } = this.addresses.find((address) => address.instance === instance) ?? {};
    await run.listen(port);
    this.runs.set(instance, run);
  }

  listAddresses(numbers: readonly number[]): ProcessAddress[] {
    return this.addresses.filter(({ instance }) =>
      numbers.some((number) => instance === `store-${number}`),
    );
  }

  /** An entry that tells the stores which join what it knows, as entries do. */
  connectEntry(numbers: readonly number[], known: () => readonly StreamOrigin[]): StoreClient {
    const client: StoreClient = new StoreClient(
      this.listAddresses(numbers),
      contextOf('entry-1', 'centre-1', 'entry'),
      { onOriginStores: () => client.shareStreamOrigins(known()) },
      report,
    );
    this.clients.push(client);
    return client;
  }

  /** Resolves once each origin is kept by this many of the stores that run. */
  async waitForCopies(count: number): Promise<void> {
    const hasCopies = ({ requestId }: StreamOrigin) =>
      [...this.runs.values()].filter(({ kept }) => kept.has(requestId)).length >= count;
    await waitUntil(`${count} copies`, () => origins.every(hasCopies));
  }

  private async close(): Promise<void> {
    this.clients.forEach((client) => client.close());
    await Promise.all([...this.runs.values()].map(async (run) => run.close()));
  }
}

const ALL = [1, 2, 3];

/** Stores that keep the origins, and the entry that has told them. */
async function startWithOrigins(context: TestContext) {
  const stores = await OriginStores.start(context);
  const entry = stores.connectEntry(ALL, () => origins);
  await stores.waitForCopies(COPIES);
  return { stores, entry };
}

// Guards against origins of which one copy is made only, since the entry reached one store as streams began.
test('origins are told to the stores that an entry reaches later', async (context) => {
  const stores = await OriginStores.start(context);
  await stores.stop(2);
  await stores.stop(3);
  stores.connectEntry(ALL, () => origins);
  await stores.waitForCopies(1);
  await stores.startAgain(2);
  await stores.startAgain(3);
  await stores.waitForCopies(COPIES);
});

// Guards against origins that are lost one copy after the other, while the entry that knows them runs.
test('origins are told again to stores that start anew one after the other', async (context) => {
  const { stores } = await startWithOrigins(context);
  for (const number of [...ALL, ...ALL]) {
    await stores.stop(number);
    await stores.startAgain(number);
    await stores.waitForCopies(COPIES);
  }
});

// Guards against the same where two stores are away at the same time.
test('origins are told again to two stores that start anew', async (context) => {
  const { stores } = await startWithOrigins(context);
  for (const [one, other] of [
    [1, 2],
    [2, 3],
    [3, 1],
  ] as const) {
    await stores.stop(one);
    await stores.stop(other);
    await stores.startAgain(one);
    await stores.startAgain(other);
    await stores.waitForCopies(COPIES);
  }
});

// Guards against origins that stay at stores which are members no more.
test('origins are told to a store that comes in place of another one', async (context) => {
  const { stores, entry } = await startWithOrigins(context);
  await stores.add(4);
  entry.setSeeds(stores.listAddresses([2, 3, 4]));
  await stores.stop(1);
  await stores.waitForCopies(COPIES);
  await stores.stop(2);
  const asker = stores.connectEntry([3, 4], () => []);
  const missing: string[] = [];
  for (const { requestId } of origins) {
    const { origin } = await asker.findStreamOrigin(requestId, ANSWER_TIMEOUT_MILLISECONDS);
    if (origin === undefined) missing.push(requestId);
  }
  assert.deepEqual(missing, []);
});

// Guards against origins of which a single copy is left for as long as a store is away, although the entry
// that knows them reaches another one: the next store to fail takes them with it.
test('the copies of a store that does not come back are made again at another one', async (context) => {
  const { stores } = await startWithOrigins(context);
  await stores.stop(1);
  await stores.waitForCopies(COPIES);
});
