/**
 * Backend servers end and start again under their names with another software version, while the
 * platform's list, which is read each second, still shows the one before. Neither a retry within an
 * answer nor a caller who takes a stream up may go on at the other version, and servers that start again
 * with the same one must cost no more than a moment.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';

const DATA_CENTRE = 'wien-a';
const ENGINES = 4;
const STREAMS = 24;
const LIST_INTERVAL_MILLISECONDS = 1000;
const SETTLED_MILLISECONDS = 3000;

/** How long after a list the servers start again. */
const AFTER_LIST_MILLISECONDS = 200;

/** Callers abandon a stream after a gap of this length. */
const PATIENCE_MILLISECONDS = 4800;

/** The aim for streams whose version serves; the least is half of the share of new ones that begin. */
const LEAST_GONE_ON = 0.9;

/** The platform's list shows a change at most this much later, apart from its interval. */
const LIST_LAGS_MILLISECONDS = [0, 700];

function startCluster(): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { [DATA_CENTRE]: ENGINES },
    versions: ['v1'],
    entries: 2,
    listIntervalMilliseconds: LIST_INTERVAL_MILLISECONDS,
  });
  cluster.advance(SETTLED_MILLISECONDS);
  return cluster;
}

/** The first engines of the cluster; the others keep running. */
function listEngines(count: number): string[] {
  return Array.from({ length: count }, (_, number) => `${DATA_CENTRE}-engine-${number + 1}`);
}

function restartHalf(cluster: SimulatedCluster, version = 'v2', listedAfter = 0): void {
  listEngines(ENGINES / 2).forEach((name) => cluster.restartEngine(name, version, listedAfter));
}

interface StreamSet {
  readonly entry?: number;
  readonly prefix?: string;
  readonly count?: number;
}

function startStreams(
  cluster: SimulatedCluster,
  { entry = 0, prefix = 'stream', count = STREAMS }: StreamSet = {},
): CallerRecord[] {
  const callers = Array.from({ length: count }, (_, number) =>
    cluster.entryAt(entry).submitRequest(makeRequest(`${prefix}-${number}`, { maxTokens: 1600 })),
  );
  while (callers.some(({ tokens }) => tokens.length < 10)) cluster.advance(10);
  return callers;
}

/** One stream for each server, so that the entry sees when one of them ends. */
function startOthers(cluster: SimulatedCluster, entry: number): void {
  startStreams(cluster, { entry, prefix: 'other', count: ENGINES });
}

function listOfVersion(streams: readonly CallerRecord[], version: string): CallerRecord[] {
  return streams.filter(({ versions }) => versions.has(version));
}

function countTwoVersions(streams: readonly CallerRecord[]): number {
  return streams.filter(({ versions }) => versions.size > 1).length;
}

/** Lets the time of callers' patience pass; returns how many of the streams have gone on in it. */
function countGoneOn(cluster: SimulatedCluster, streams: readonly CallerRecord[]): number {
  const before = streams.map(({ tokens }) => tokens.length);
  cluster.advance(PATIENCE_MILLISECONDS);
  return streams.filter(({ tokens }, position) => tokens.length > (before[position] ?? 0)).length;
}

/** Kills the first entry, and takes the streams up at the second one. */
function takeUpElsewhere(
  cluster: SimulatedCluster,
  streams: readonly CallerRecord[],
): CallerRecord[] {
  cluster.entryAt(0).kill();
  return streams.map((stream, number) => cluster.entryAt(1).takeUp(stream, `again-${number}`));
}

function assertGoOn(cluster: SimulatedCluster, streams: readonly CallerRecord[]): void {
  const goneOn = countGoneOn(cluster, streams);
  assert.equal(countTwoVersions(streams), 0, 'streams of two versions');
  assert.ok(goneOn >= streams.length * LEAST_GONE_ON, `${goneOn} of ${streams.length} go on`);
}

/** One stream for each server, and so many that their losses tell a restart from a lost connection. */
const STREAM_COUNTS = [ENGINES, STREAMS];

/** Runs a scenario with each number of streams and lag of the list; it returns the streams in the end. */
function assertNoneJoined(run: (lag: number, count: number) => readonly CallerRecord[]): void {
  const cases = STREAM_COUNTS.flatMap((count) =>
    LIST_LAGS_MILLISECONDS.map((lag) => ({ count, lag })),
  );
  const joined = cases.map(({ count, lag }) => countTwoVersions(run(lag, count)));
  const summary = cases.map(
    ({ count, lag }, number) => `${joined[number]} of ${count} (${lag} ms)`,
  );
  assert.ok(
    joined.every((number) => number === 0),
    `of two versions: ${summary.join(', ')}`,
  );
}

// Guards against an answer that is continued at a server which has just started again with another
// version: it takes requests at once, and the list still shows the version that began the answer.
test('an answer does not go on at a server that has started again with another version', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startStreams(cluster, { count });
    restartHalf(cluster, 'v2', lag);
    cluster.advance(PATIENCE_MILLISECONDS);
    return streams;
  });
});

// Guards against the same where the server was away for longer than the list takes: it has been read since
// the connections were lost, and shows a crashed server for seconds.
test('an answer does not go on at a crashed server that comes back with another version', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startStreams(cluster, { count });
    const [first = '', ...others] = listEngines(ENGINES);
    cluster.engine(first).die();
    for (let waited = 0; waited < 2900; waited += 100) cluster.advance(100);
    cluster.restartEngine(first, 'v2', LIST_INTERVAL_MILLISECONDS + lag);
    cluster.advance(100);
    others.forEach((name) => cluster.engine(name).die());
    cluster.advance(PATIENCE_MILLISECONDS);
    return streams;
  });
});

// Guards against a caller's stream that is continued there by an entry whose own streams have just ended.
test('a stream is not taken up at a server that has started again with another version', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startStreams(cluster, { count });
    startOthers(cluster, 1);
    restartHalf(cluster, 'v2', lag);
    cluster.advance(10);
    const takenUp = takeUpElsewhere(cluster, streams);
    cluster.advance(PATIENCE_MILLISECONDS);
    return takenUp;
  });
});

// Guards against the same at an entry that had no connection to that server.
test('a stream is not taken up at a restarted server by an entry that had no stream there', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startStreams(cluster, { count });
    restartHalf(cluster, 'v2', lag);
    cluster.advance(10);
    const takenUp = takeUpElsewhere(cluster, streams);
    cluster.advance(PATIENCE_MILLISECONDS);
    return takenUp;
  });
});

/** Streams of which some begin at servers that have started again, before the next list. */
function startBeforeNextList(
  cluster: SimulatedCluster,
  lag: number,
  count: number,
): CallerRecord[] {
  cluster.advance(AFTER_LIST_MILLISECONDS);
  restartHalf(cluster, 'v2', lag);
  cluster.advance(100);
  const streams = startStreams(cluster, { count });
  assert.ok(listOfVersion(streams, 'v2').length > 0, 'no stream began at the new version');
  return streams;
}

/** Ends one server of each version, so that its streams go to another one than before. */
function loseOneOfEach(cluster: SimulatedCluster): void {
  cluster.engine(`${DATA_CENTRE}-engine-1`).die();
  cluster.engine(`${DATA_CENTRE}-engine-${ENGINES}`).die();
}

// Guards against an answer that began between the restart and the next list, and is bound to the version
// that the list showed then.
test('an answer that began at a restarted server goes on at the version that it has now', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startBeforeNextList(cluster, lag, count);
    cluster.advance(LIST_INTERVAL_MILLISECONDS + lag);
    cluster.engine(`${DATA_CENTRE}-engine-1`).die();
    assertGoOn(cluster, streams);
    return streams;
  });
});

// Guards against an origin that names the version which the list showed when the stream began.
test('a stream that began at a restarted server is not taken up at the version it had before', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startBeforeNextList(cluster, lag, count);
    cluster.advance(LIST_INTERVAL_MILLISECONDS + lag + 200);
    const takenUp = takeUpElsewhere(cluster, streams);
    assertGoOn(cluster, takenUp);
    return takenUp;
  });
});

// Guards against the same with a stream that breaks off before the list says where it began.
test('a stream is not taken up before the next list at the version that its server had before', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    startOthers(cluster, 0);
    const streams = startBeforeNextList(cluster, lag, count);
    loseOneOfEach(cluster);
    const takenUp = takeUpElsewhere(cluster, streams);
    cluster.advance(PATIENCE_MILLISECONDS);
    return takenUp;
  });
});

// Guards against the same at an entry that had no connection to the server when it ended.
test('a stream that an entry began without having seen the restart is not taken up before the next list', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startBeforeNextList(cluster, lag, count);
    loseOneOfEach(cluster);
    const takenUp = takeUpElsewhere(cluster, streams);
    cluster.advance(PATIENCE_MILLISECONDS);
    return takenUp;
  });
});

// Guards against an origin that stays at the stores although the stream ended before the list that shows
// that it names another version.
test('the origin of a stream that broke off before the next list is corrected', () => {
  assertNoneJoined((lag, count) => {
    const cluster = startCluster();
    const streams = startBeforeNextList(cluster, lag, count);
    streams.forEach(() => cluster.disconnectCaller(0));
    cluster.advance(LIST_INTERVAL_MILLISECONDS + lag);
    const takenUp = takeUpElsewhere(cluster, streams);
    cluster.advance(PATIENCE_MILLISECONDS);
    return takenUp;
  });
});

// Guards against safety that is bought by streams which wait for seconds or are cut when servers of the
// only version start again.
const harmless: Readonly<Record<string, (cluster: SimulatedCluster) => void>> = {
  'some servers start again with the same version': (cluster) => restartHalf(cluster, 'v1'),
  'all servers start again with the same version': (cluster) =>
    listEngines(ENGINES).forEach((name) => cluster.restartEngine(name, 'v1')),
  'the connections to all servers are reset': (cluster) =>
    listEngines(ENGINES).forEach((name) => cluster.entryAt(0).breakConnections(name, 'reset')),
};
for (const [what, change] of Object.entries(harmless)) {
  test(`answers go on within their callers' patience while ${what}`, () => {
    const cluster = startCluster();
    // More streams of one server would be suspected of a crash, and wait for each other.
    const streams = startStreams(cluster, { count: ENGINES });
    change(cluster);
    assertGoOn(cluster, streams);
  });

  test(`streams are taken up within their callers' patience while ${what}`, () => {
    const cluster = startCluster();
    const streams = startStreams(cluster);
    startOthers(cluster, 1);
    change(cluster);
    cluster.advance(10);
    assertGoOn(cluster, takeUpElsewhere(cluster, streams));
  });
}
