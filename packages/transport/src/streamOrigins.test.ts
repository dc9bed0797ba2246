/** Which stores a process tells where streams began, and which it asks. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type {
  InstanceReport,
  StoreRequest,
  StoreResponse,
  StreamOrigin,
  VersionHistoryMessage,
} from '@hornbeampond/schema';
import { PeerServer, type PeerSession } from './PeerServer.js';
import { StoreClient } from './StoreClient.js';

const HOST = '127.0.0.1';
const CLUSTER = 'tested';
const TIMEOUT_MILLISECONDS = 300;
const WAIT_LIMIT_MILLISECONDS = 5000;

const report: InstanceReport = {
  instance: 'entry-1',
  dataCentre: 'wien-a',
  role: 'entry',
  revision: 0,
  cutOff: false,
};

function contextOf(instance: string, dataCentre: string, role: 'store' | 'entry') {
  return {
    identity: { cluster: CLUSTER, instance, dataCentre, role },
    secret: 'secret-of-the-tested-cluster',
    timers: new SystemTimerService(),
    logger: new Logger({ process: 'test', instance }, 'error'),
  };
}

const UNKNOWN = { origin: undefined, isConclusive: true, histories: [] };

function makeOrigin(requestId: string): StreamOrigin {
  return { requestId, workspace: 'laden', pool: 'drafting', version: 'v1', lifetime: 5000 };
}

interface StubOptions {
  readonly dataCentre: string;
  /** A store of an older version knows neither the requests nor that it could keep origins. */
  readonly isOld?: boolean;
  readonly isSilent?: boolean;
  /** The versions that it has recorded. */
  readonly history?: VersionHistoryMessage;
}

/** A store as far as origins go. */
class StubStore {
  private readonly sessions = new Set<PeerSession>();

  readonly origins = new Map<string, StreamOrigin>();

  /** Types of all requests. */
  readonly requests: StoreRequest['type'][] = [];

  readonly server: PeerServer;

  constructor(
    readonly instance: string,
    readonly options: StubOptions,
  ) {
    this.server = new PeerServer(contextOf(instance, options.dataCentre, 'store'), {
      onOpen: (session) => this.sessions.add(session),
      onRequest: (_, body, respond) => this.handle(body as StoreRequest, respond),
    });
  }

  /** Closes all connections; the clients connect anew. */
  resetConnections(): void {
    this.sessions.forEach((session) => session.close());
    this.sessions.clear();
  }

  private handle(request: StoreRequest, respond: (response: StoreResponse) => void): void {
    this.requests.push(request.type);
    const { isOld = false, isSilent = false } = this.options;
    if (request.type === 'report') {
      respond({ type: 'accepted', ...(isOld ? {} : { keepsStreamOrigins: true }) });
    } else if (request.type === 'shareStreamOrigins') {
      request.origins.forEach((origin) => this.origins.set(origin.requestId, origin));
    } else if (request.type === 'findStreamOrigin' && !isSilent) {
      const { history } = this.options;
      respond({ type: 'streamOrigin', origin: this.origins.get(request.requestId), history });
    }
  }
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  const endsAt = Date.now() + WAIT_LIMIT_MILLISECONDS;
  while (!isTrue()) {
    assert.ok(Date.now() < endsAt, 'not in time');
    await wait(5);
  }
}

async function start(context: TestContext, options: readonly StubOptions[]) {
  const stores = options.map((each, position) => new StubStore(`store-${position + 1}`, each));
  const addresses = [];
  for (const { server, instance, options: each } of stores) {
    const port = await server.listen({ host: HOST, port: 0 });
    addresses.push({ instance, dataCentre: each.dataCentre, host: HOST, port });
  }
  let joined = 0;
  const handlers = {
    onOriginStores: () => {
      joined += 1;
    },
  };
  const client = new StoreClient(
    addresses,
    contextOf('entry-1', 'wien-a', 'entry'),
    handlers,
    report,
  );
  context.after(async () => {
    client.close();
    await Promise.all(stores.map(async ({ server }) => server.close()));
  });
  await waitUntil(() => stores.every(({ requests }) => requests.includes('report')));
  await waitUntil(() => joined === options.filter(({ isOld }) => isOld !== true).length);
  return { client, stores };
}

const requestIds = Array.from({ length: 40 }, (_, number) => `request-${number}`);

function listHolders(stores: readonly StubStore[], requestId: string): StubStore[] {
  return stores.filter(({ origins }) => origins.has(requestId));
}

async function share(client: StoreClient, stores: readonly StubStore[]): Promise<void> {
  client.shareStreamOrigins(requestIds.map(makeOrigin));
  await waitUntil(() => requestIds.every((id) => listHolders(stores, id).length >= 2));
}

// Guards against origins that are lost with one data centre, and against frames to all stores.
test('each origin is kept by two stores of different data centres', async (context) => {
  const { client, stores } = await start(context, [
    { dataCentre: 'wien-a' },
    { dataCentre: 'wien-a' },
    { dataCentre: 'wien-b' },
    { dataCentre: 'wien-b' },
  ]);
  await share(client, stores);
  requestIds.forEach((requestId) => {
    const holders = listHolders(stores, requestId);
    assert.equal(holders.length, 2);
    assert.equal(new Set(holders.map(({ options }) => options.dataCentre)).size, 2);
  });
  stores.forEach(({ origins }) => assert.ok(origins.size > 0));
});

// Guards against requests that a store of an older version cannot read: it closes the connection.
test('stores of an older version are neither told nor asked', async (context) => {
  const { client, stores } = await start(context, [
    { dataCentre: 'wien-a', isOld: true },
    { dataCentre: 'wien-b' },
    { dataCentre: 'stpoelten' },
  ]);
  await share(client, stores);
  assert.deepEqual(await client.findStreamOrigin('request-1', TIMEOUT_MILLISECONDS), {
    origin: makeOrigin('request-1'),
    isConclusive: true,
    histories: [],
  });
  const [old] = stores;
  assert.ok(old !== undefined);
  assert.equal(old.requests.includes('shareStreamOrigins'), false);
  assert.equal(old.requests.includes('findStreamOrigin'), false);
});

// Guards against a caller who waits for a store that does not answer although another one knows.
test('the first store that knows an origin is enough, and none is waited for without end', async (context) => {
  const { client, stores } = await start(context, [
    { dataCentre: 'wien-a', isSilent: true },
    { dataCentre: 'wien-b' },
    { dataCentre: 'stpoelten' },
  ]);
  await share(client, stores);
  const known = requestIds.find((id) => stores.slice(1).some(({ origins }) => origins.has(id)));
  const startedAt = Date.now();
  const { origin } = await client.findStreamOrigin(known ?? '', TIMEOUT_MILLISECONDS);
  assert.equal(origin?.version, 'v1');
  assert.ok(Date.now() - startedAt < TIMEOUT_MILLISECONDS);
  assert.deepEqual(await client.findStreamOrigin('nobody', TIMEOUT_MILLISECONDS), UNKNOWN);
});

// Guards against a caller who is refused because all connections of the entry have just been reset, those
// to its stores as well as that of the caller, who has come back at once.
test('stores whose connections were reset are asked once they are connected again', async (context) => {
  const { client, stores } = await start(context, [
    { dataCentre: 'wien-a' },
    { dataCentre: 'wien-b' },
    { dataCentre: 'stpoelten' },
  ]);
  await share(client, stores);
  stores.forEach((store) => store.resetConnections());
  const { origin } = await client.findStreamOrigin('request-1', WAIT_LIMIT_MILLISECONDS);
  assert.equal(origin?.version, 'v1');
});

// Guards against an entry that was out of touch and goes by the versions of its own lists, while a store
// has recorded one that came meanwhile.
test('stores that do not know an origin say which versions there were', async (context) => {
  const history: VersionHistoryMessage = {
    knownFor: 60_000,
    lastListAge: 500,
    pools: { drafting: [{ version: 'v2', age: 0, isListed: true }] },
  };
  const { client } = await start(context, [
    { dataCentre: 'wien-a', history },
    { dataCentre: 'wien-b' },
    { dataCentre: 'stpoelten' },
  ]);
  const { histories } = await client.findStreamOrigin('nobody', WAIT_LIMIT_MILLISECONDS);
  assert.deepEqual(histories, [history]);
});

// Guards against callers who wait for the whole time whenever one store is down.
test('an origin that nobody knows is not waited for while one store is down', async (context) => {
  const { client, stores } = await start(context, [
    { dataCentre: 'wien-a' },
    { dataCentre: 'wien-b' },
    { dataCentre: 'stpoelten' },
  ]);
  await stores[0]?.server.close();
  await waitUntil(() => (stores[0]?.requests.length ?? 0) > 0);
  const startedAt = Date.now();
  assert.deepEqual(await client.findStreamOrigin('nobody', WAIT_LIMIT_MILLISECONDS), UNKNOWN);
  assert.ok(Date.now() - startedAt < TIMEOUT_MILLISECONDS);
});

// Guards against an entry that takes silence for an answer: it would send the stream to any version.
for (const [silent, answering] of [
  [1, 0],
  [3, 1],
] as const) {
  test(`an origin may be known to ${silent} silent stores beside ${answering} that answer`, async (context) => {
    const stores = Array.from({ length: silent + answering }, (_, position) => ({
      dataCentre: `centre-${position}`,
      isSilent: position < silent,
    }));
    const { client } = await start(context, stores);
    const answer = await client.findStreamOrigin('nobody', TIMEOUT_MILLISECONDS);
    assert.deepEqual(answer, { origin: undefined, isConclusive: false, histories: [] });
  });
}
