/** Backend servers that fall over when they have to reject requests too often. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeRequest, SimulatedCluster, type SimulatedEngine } from '../driver/index.js';
import { isWithinBrittleRoom } from './brittleAllowance.js';
import { mayOfferBrittle, type BrittleOffer } from './mayOfferBrittle.js';
import { runLoad } from './testing/runLoad.js';

const STEP_MILLISECONDS = 250;
const SETTLING_MILLISECONDS = 3000;
const BRITTLE_MILLISECONDS = 9000;
const BACK_AFTER_MILLISECONDS = 4000;

/** What an engine runs at a time, and how many may wait at first. */
const CONCURRENCY = 32;
const MAX_WAITING = 8;

const SURVIVED_REJECTIONS = 3;

/** Twice what the engines can serve in the long run, and three times as much in every fourth step. */
const REQUESTS_PER_SECOND_AND_ENGINE = 50;
const BURST_FACTOR = 3;

/** How the reports of the entries reach each other. */
const reportPaths = ['soon', 'late', 'inTransit', 'cutOff'] as const;
type ReportPath = (typeof reportPaths)[number];

/** Between two digests, where they are late: five times what is usual. */
const LATE_DIGEST_MILLISECONDS = 250;

/** How long digests are under way to an entry on a full link, or wait unread in a busy one. */
const TRANSIT_MILLISECONDS = 750;

const CUT_FROM_MILLISECONDS = 4000;
const CUT_UNTIL_MILLISECONDS = 8000;

interface BrittleTime {
  readonly entries: number;
  readonly enginesPerDataCentre: number;
  readonly reports: ReportPath;
  readonly seed: number;
}

/** Restarts engines some seconds after they have fallen over. */
function restartFallen(cluster: SimulatedCluster, engines: readonly SimulatedEngine[]): void {
  const { now } = cluster.clock();
  engines.forEach((engine) => {
    const fellAt = engine.fellAt.at(-1);
    if (engine.alive || fellAt === undefined) return;
    if (now - fellAt > BACK_AFTER_MILLISECONDS) Object.assign(engine, { alive: true });
  });
}

/**
 * Runs bursts of callers against engines that say that they are brittle, and let fewer and fewer wait
 * from three seconds later on. Returns how often they fall over from then on.
 */
function countFalls({ entries, enginesPerDataCentre, reports, seed }: BrittleTime): number {
  const random = xoroshiro128plus(seed);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': enginesPerDataCentre, 'wien-b': enginesPerDataCentre },
    entries,
    reportsThroughStore: true,
    ...(reports === 'late' ? { digestDelayMilliseconds: LATE_DIGEST_MILLISECONDS } : {}),
  });
  if (cluster.reportStore !== undefined && reports === 'inTransit') {
    cluster.reportStore.transitDelay = TRANSIT_MILLISECONDS;
  }
  cluster.advance(1500);
  const engines = [...cluster.engines.values()];
  const runStep = () => {
    const factor = uniformInt(random, 0, 3) === 0 ? BURST_FACTOR : 1;
    const requestsPerSecond = engines.length * REQUESTS_PER_SECOND_AND_ENGINE * factor;
    runLoad(cluster, { requestsPerSecond, duration: STEP_MILLISECONDS });
    restartFallen(cluster, engines);
  };
  engines.forEach((engine) => Object.assign(engine, { survivedRejections: SURVIVED_REJECTIONS }));
  for (let elapsed = 0; elapsed < SETTLING_MILLISECONDS; elapsed += STEP_MILLISECONDS) runStep();
  for (let elapsed = 0; elapsed < BRITTLE_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
    // Fewer and fewer may wait, while requests are under way.
    const waiting = Math.max(1, MAX_WAITING - Math.floor(elapsed / 1000));
    engines.forEach((engine) => Object.assign(engine, { room: CONCURRENCY + waiting }));
    const isCut = elapsed >= CUT_FROM_MILLISECONDS && elapsed < CUT_UNTIL_MILLISECONDS;
    if (cluster.reportStore !== undefined && reports === 'cutOff') {
      cluster.reportStore.isSilent = isCut;
    }
    runStep();
  }
  return engines.reduce((sum, { fellAt }) => sum + fellAt.length, 0);
}

[
  { entries: 8, enginesPerDataCentre: 2, seeds: [1, 2] },
  { entries: 58, enginesPerDataCentre: 4, seeds: [1, 3] },
  { entries: 64, enginesPerDataCentre: 4, seeds: [3] },
].forEach(({ entries, enginesPerDataCentre, seeds }) => {
  reportPaths.forEach((reports) => {
    // Guards against entries that together send what none of them would send alone, and against servers that
    // are flooded when they are back.
    test(`brittle servers stay up in bursts (${entries} entries, reports ${reports})`, () => {
      const tolerated = 2 + (2 * enginesPerDataCentre) / 10;
      seeds.forEach((seed) => {
        const falls = countFalls({ entries, enginesPerDataCentre, reports, seed });
        assert.ok(
          falls <= tolerated,
          `${falls} falls with seed ${seed}, ${tolerated} are tolerated`,
        );
      });
    });
  });
});

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
