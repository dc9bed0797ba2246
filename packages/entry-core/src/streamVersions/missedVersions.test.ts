/**
 * Streams of a version that came and went while an entry was out of step, and what that entry and the
 * stores can know of it afterwards.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { VersionHistoryMessage } from '@hornbeampond/schema';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';
import { makeConfiguration } from '../driver/fixtures.js';

const DATA_CENTRE = 'wien-a';
const ENGINES = 4;
const STREAMS = 24;
const PATIENCE_MILLISECONDS = 4800;

function startCluster(versions: readonly string[] | undefined = ['v1']): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { [DATA_CENTRE]: ENGINES },
    ...(versions.length === 0 ? {} : { versions }),
    entries: 2,
    listIntervalMilliseconds: 1000,
    wholeAnswerMilliseconds: 15_000,
  });
  cluster.advance(20_000);
  return cluster;
}

function listNewVersion(): string[] {
  return Array.from({ length: ENGINES }, (_, number) => `${DATA_CENTRE}-v2-engine-${number + 1}`);
}

function releaseVersion(cluster: SimulatedCluster): void {
  listNewVersion().forEach((name) => cluster.addEngine(name, DATA_CENTRE, 'v2'));
}

/** The servers of the new version crash and leave the list. */
function withdrawVersion(cluster: SimulatedCluster): void {
  listNewVersion().forEach((name) => cluster.engine(name).die());
  cluster.publishAliveEngines();
}

function startStreams(cluster: SimulatedCluster): CallerRecord[] {
  const callers = Array.from({ length: STREAMS }, (_, number) =>
    cluster.entryAt(0).submitRequest(makeRequest(`stream-${number}`, { maxTokens: 400 })),
  );
  while (callers.some(({ tokens }) => tokens.length < 10)) cluster.advance(10);
  return callers;
}

/** Takes the streams up at the second entry, and those that are refused once more. */
function takeUp(cluster: SimulatedCluster, streams: readonly CallerRecord[]): CallerRecord[] {
  const takenUp: CallerRecord[] = [];
  [1, 2, 3].forEach((round) => {
    const last = streams.map((stream, number) =>
      cluster.entryAt(1).takeUp(stream, `again-${round}-${number}`),
    );
    takenUp.push(...last);
    cluster.advance(700);
  });
  cluster.advance(PATIENCE_MILLISECONDS);
  return takenUp;
}

function countJoined(takenUp: readonly CallerRecord[]): number {
  return takenUp.filter(({ versions }) => versions.size > 1).length;
}

function cutOff(cluster: SimulatedCluster, reaches = false): void {
  const entry = cluster.entryAt(1);
  entry.reachesPlatform = reaches;
  entry.reachesStores = reaches;
}

// Guards against an old list without any version that is taken for a platform that states none.
test('a stream of a version that joined is not continued at a server without a version', () => {
  const cluster = startCluster([]);
  cutOff(cluster);
  releaseVersion(cluster);
  cluster.advance(100);
  const streams = startStreams(cluster);
  cluster.entryAt(0).kill();
  const begunAtNewVersion = streams.filter(({ versions }) => versions.has('v2'));
  assert.ok(begunAtNewVersion.length > 0);
  const goneOn = takeUp(cluster, begunAtNewVersion).filter(
    ({ tokens }, number) => tokens.length > (begunAtNewVersion[number]?.tokens.length ?? 0),
  );
  assert.equal(goneOn.length, 0);
});

// Guards against a store's history that has waited on its way and bridges the gap in the lists of its
// reader.
test('a history that waited on its way does not hide a version that came and went meanwhile', () => {
  const cluster = startCluster();
  const history: VersionHistoryMessage = {
    knownFor: 3_600_000,
    lastListAge: 500,
    pools: { engines: [{ version: 'v1', age: 500, isListed: true }] },
  };
  const askedAt = cluster.clock().now;
  cutOff(cluster);
  releaseVersion(cluster);
  const streams = startStreams(cluster);
  const entry = cluster.entryAt(1);
  cluster.advance(5000);
  withdrawVersion(cluster);
  cluster.entryAt(0).kill();
  entry.reachesPlatform = true;
  cluster.advance(2000);
  const { wallNow } = cluster.clock();
  const versions = { at: wallNow, history };
  entry.send({
    type: 'knowledgeRemembered',
    remembered: { usage: [], delays: {}, computed: {}, versions },
    askedAt,
  });
  assert.equal(countJoined(takeUp(cluster, streams)), 0);
});

// Guards against a store that undoes the gap which an entry has seen in its own lists, because it takes a
// longer one for complete.
test('a store without lists for four seconds does not hide a version that came and went', () => {
  const cluster = startCluster();
  cluster.entryAt(0).reachesStores = false;
  cluster.entryAt(1).reachesPlatform = false;
  releaseVersion(cluster);
  const streams = startStreams(cluster);
  cluster.advance(2000);
  withdrawVersion(cluster);
  cluster.advance(2000);
  cluster.entryAt(0).kill();
  cluster.entryAt(1).reachesPlatform = true;
  assert.equal(countJoined(takeUp(cluster, streams)), 0);
});

// Guards against refusals because a split names a pool that has never had a server: none has begun a stream.
test('streams of a route go on although another pool of its split has no servers', () => {
  const made = makeConfiguration(15_000);
  const split = [
    { pool: 'engines', weight: 90 },
    { pool: 'bookings', weight: 10 },
  ];
  const rows = made.routes.rows.map((route) =>
    route.pool === 'engines' ? { ...route, split } : route,
  );
  const cluster = new SimulatedCluster({
    engines: { [DATA_CENTRE]: ENGINES },
    versions: ['v1'],
    entries: 2,
    listIntervalMilliseconds: 1000,
    configuration: { ...made, routes: { ...made.routes, rows } },
  });
  cluster.advance(20_000);
  Array.from({ length: STREAMS }, (_, number) =>
    cluster.entryAt(0).submitRequest(makeRequest(`stream-${number}`, { maxTokens: 400 })),
  );
  cluster.advance(1500);
  const begun = [...cluster.entryAt(0).callers.values()].filter(({ tokens }) => tokens.length > 0);
  assert.ok(begun.length > 0);
  cluster.forgetOrigins();
  cluster.entryAt(0).kill();
  const again = begun.map((stream, number) => cluster.entryAt(1).takeUp(stream, `again-${number}`));
  cluster.advance(PATIENCE_MILLISECONDS);
  const goneOn = again.filter(
    ({ tokens }, number) => tokens.length > (begun[number]?.tokens.length ?? 0),
  );
  assert.ok(goneOn.length >= begun.length / 2, `${goneOn.length} of ${begun.length} go on`);
});
