/** Backend servers that fall over when they have to reject requests too often. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';
import { isWithinBrittleRoom } from './brittleAllowance.js';
import { mayOfferBrittle, type BrittleOffer } from './mayOfferBrittle.js';
import { CONCURRENCY, SURVIVED_REJECTIONS } from './testing/brittleBursts.js';

const offer: BrittleOffer = {
  limit: 10,
  inProgress: 0,
  ownRecent: 0,
  own: 0,
  entryCount: 1,
  isCutOff: false,
  draw: 0.5,
};

test('a brittle server is offered up to four fifths of its slots', () => {
  assert.equal(mayOfferBrittle({ ...offer, inProgress: 7 }), true);
  assert.equal(mayOfferBrittle({ ...offer, inProgress: 8 }), false);
  assert.equal(mayOfferBrittle({ ...offer, limit: 1, inProgress: 0 }), true);
});

// Guards against a burst that reaches all entries at once, before they have heard of each other.
test('entries divide the room that is left, and are drawn where there is less than one each', () => {
  const shared = { ...offer, entryCount: 8, limit: 30 };
  assert.equal(mayOfferBrittle({ ...shared, ownRecent: 2, inProgress: 2 }), true);
  assert.equal(mayOfferBrittle({ ...shared, ownRecent: 3, inProgress: 3 }), false);
  const scarce = { ...shared, inProgress: 20 };
  assert.equal(mayOfferBrittle({ ...scarce, draw: 0.49 }), true);
  assert.equal(mayOfferBrittle({ ...scarce, draw: 0.51 }), false);
});

// Guards against an entry that takes all of a server's room because it hears of nobody else.
test('an entry that hears nothing of the others keeps to its own part', () => {
  const cutOff = { ...offer, entryCount: 4, limit: 10, isCutOff: true, draw: 0.9 };
  assert.equal(mayOfferBrittle({ ...cutOff, own: 1 }), true);
  assert.equal(mayOfferBrittle({ ...cutOff, own: 2 }), false);
});

// Guards against an entry that reserves the room of all others in one moment: many servers leave at once, and each
// stream that moves away takes a place that nobody else has heard of.
test('streams that move to a brittle server count among what others have not heard of', () => {
  const sources = 8;
  const entryCount = 8;
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': sources, 'wien-b': 1 },
    entries: entryCount,
    reportsThroughStore: true,
  });
  cluster.advance(1500);
  const { entry } = cluster;
  const leaving = [...cluster.engines.keys()].filter((instance) => instance.startsWith('wien-a'));
  for (let sent = 0; sent < 4 * sources; sent += 1) {
    entry.submitRequest(makeRequest(`request-${sent}`, { promptTokens: 2000, maxTokens: 400 }));
    cluster.advance(20);
  }
  cluster.advance(1000);
  assert.ok(leaving.every((instance) => cluster.engine(instance).streams.size > 0));
  const [instance = ''] = [...cluster.engines.keys()].filter((name) => !leaving.includes(name));
  entry.send({ type: 'serverStated', instance, survivedRejections: SURVIVED_REJECTIONS });
  cluster.reclaimByPlatformList(leaving, 2000);
  const reserved = [...entry.state.reclaims.moves.values()].length;
  const mostOfOneEntry = Math.ceil((CONCURRENCY * 0.8) / entryCount);
  assert.ok(reserved >= 1 && reserved <= mostOfOneEntry, `${reserved} places of ${mostOfOneEntry}`);
});

// Guards against a server that answers again after a pause, and gets as many requests as it still runs: attempts that
// timed out go on there beside those that follow them elsewhere.
test('an attempt that timed out and runs on takes room at a brittle server', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 } });
  cluster.advance(1500);
  const { entry } = cluster;
  entry.submitRequest(makeRequest('one', { maxTokens: 2000 }));
  cluster.advance(10);
  const engine = [...cluster.engines.values()].find(({ streams }) => streams.size > 0);
  const server = entry.state.backendServers.get(engine?.instance ?? '');
  assert.ok(engine !== undefined && server !== undefined);
  engine.silentFor = 60_000;
  server.balancing.limit = 1;
  const { instance } = engine;
  entry.send({ type: 'serverStated', instance, survivedRejections: SURVIVED_REJECTIONS });
  cluster.advance(5000);
  assert.equal(engine.streams.size, 1);
  assert.equal(isWithinBrittleRoom(entry.state, server), false);
});

function startEntry() {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 }, entries: 2 });
  cluster.advance(1500);
  const { entry } = cluster;
  const [server] = entry.state.backendServers.values();
  assert.ok(server !== undefined);
  const { instance } = server.platformInstance;
  const state = (survivedRejections: number | undefined) =>
    entry.send({
      type: 'serverStated',
      instance,
      ...(survivedRejections === undefined ? {} : { survivedRejections }),
    });
  return { cluster, entry, server, instance, state };
}

// Guards against a room that is taken for larger than the server's own, where nothing configures its slots:
// each entry would learn it by a rejection of its own.
test('a brittle server that states its slots is offered no more than four fifths of them', () => {
  const { entry, server, instance, state } = startEntry();
  server.balancing.limit = 32;
  const { wallNow: measuredAt } = entry.state.clocks;
  const report = { instance, measuredAt, running: 0, queued: 0, slots: 2 };
  entry.send({ type: 'loadReported', report });
  server.attemptIds.add('one').add('two');
  assert.equal(isWithinBrittleRoom(entry.state, server), true);
  state(4);
  assert.equal(isWithinBrittleRoom(entry.state, server), false);
});

// Guards against decisions that change for servers which say nothing of the kind.
test('a server that is not brittle is used as before', () => {
  const { entry, server, state } = startEntry();
  server.balancing.limit = 1;
  server.attemptIds.add('one').add('two');
  assert.equal(isWithinBrittleRoom(entry.state, server), true);
  state(4);
  assert.equal(isWithinBrittleRoom(entry.state, server), false);
});

// Guards against a statement that other entries learn by rejections, and against one that stays in force.
test('what one entry is told of a brittle server all know, and also that it has ended', () => {
  const { cluster, entry, instance, state } = startEntry();
  const other = cluster.entryAt(1).state;
  state(4);
  cluster.advance(200);
  assert.deepEqual([entry.state.brittleness.at(instance), other.brittleness.at(instance)], [4, 4]);
  // A value that cannot be read comes as none.
  state(undefined);
  cluster.advance(200);
  assert.equal(other.brittleness.at(instance), 4);
  state(Infinity);
  cluster.advance(200);
  assert.deepEqual(
    [entry.state.brittleness.isBrittle(instance), other.brittleness.isBrittle(instance)],
    [false, false],
  );
  const changes = entry.log.filter((line) => line.includes('brittlenessChanged'));
  assert.equal(changes.length, 2);
});

// Guards against rejections of which no entry says anything: whether they were for want of room, and what the entry
// knew of the server, could not be told afterwards.
test('each rejection is logged with what was assumed of the server, also if nobody waits for it', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 1 } });
  cluster.advance(1500);
  const { entry } = cluster;
  const [engine] = cluster.engines.values();
  assert.ok(engine !== undefined);
  const { instance } = engine;
  entry.send({ type: 'serverStated', instance, survivedRejections: SURVIVED_REJECTIONS });
  engine.room = 0;
  entry.submitRequest(makeRequest('awaited'));
  entry.submitRequest(makeRequest('abandoned'));
  const [attempt] = [...entry.state.attempts.values()].filter(
    ({ requestId }) => requestId === 'abandoned',
  );
  assert.ok(attempt !== undefined);
  entry.state.requests.delete('abandoned');
  cluster.advance(20);
  const lines = entry.log
    .filter((line) => line.includes('serverRejected'))
    .map((line) => JSON.parse(line.slice(line.indexOf('{'))) as Record<string, unknown>);
  const assumed = {
    backendServer: instance,
    assumedLimit: CONCURRENCY,
    survivedRejections: SURVIVED_REJECTIONS,
    brittlenessAge: 0,
    entryCount: 1,
    listedFor: 1500,
  };
  const expected = [
    { requestId: 'awaited', isAwaited: true, assumedInProgress: 1, ...assumed },
    { requestId: 'abandoned', isAwaited: false, assumedInProgress: 2, ...assumed },
  ];
  const pick = (line: Record<string, unknown>, keys: string[]) =>
    Object.fromEntries(keys.map((key) => [key, line[key]]));
  assert.deepEqual(
    expected.map((fields, position) => pick(lines[position] ?? {}, Object.keys(fields))),
    expected,
  );
  assert.equal(entry.count('serverRejections/brittle'), 2);
});
