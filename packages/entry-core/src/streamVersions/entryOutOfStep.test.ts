/**
 * A release starts servers of another version while one entry is out of step: it is cut off from the
 * stores and from the platform's lists, or it stands still and then handles a list that is older than it
 * looks. Streams that another entry begins break off and are taken up at that entry, whose callers see a
 * status of 200 and text of two versions if it goes by the versions of its last list.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';

const DATA_CENTRE = 'wien-a';
const ENGINES = 4;
const STREAMS = 24;
const LIST_INTERVAL_MILLISECONDS = 1000;
const SETTLED_MILLISECONDS = 3000;

/** Callers abandon a stream after a gap of this length. */
const PATIENCE_MILLISECONDS = 4800;

/** The aim for streams whose version serves; the least is half of the share of new ones that begin. */
const LEAST_GONE_ON = STREAMS * 0.9;

interface Outcome {
  /** Streams that began at the version that has joined. */
  readonly begunAtNewVersion: number;
  readonly ofTwoVersions: number;
  readonly goneOn: number;
  /** How often the version was found in each way at the entry at which they are taken up. */
  readonly findings: Readonly<Record<string, number>>;
}

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

function releaseVersion(cluster: SimulatedCluster): void {
  for (let number = 1; number <= ENGINES; number += 1) {
    cluster.addEngine(`${DATA_CENTRE}-v2-engine-${number}`, DATA_CENTRE, 'v2');
  }
}

function startStreams(cluster: SimulatedCluster): CallerRecord[] {
  const callers = Array.from({ length: STREAMS }, (_, number) =>
    cluster.entryAt(0).submitRequest(makeRequest(`stream-${number}`, { maxTokens: 400 })),
  );
  while (callers.some(({ tokens }) => tokens.length < 10)) cluster.advance(10);
  return callers;
}

function readFindings(cluster: SimulatedCluster): Record<string, number> {
  const prefix = 'streamsTakenUp/';
  const counts = [...cluster.entryAt(1).counts].filter(([name]) => name.startsWith(prefix));
  return Object.fromEntries(counts.map(([name, count]) => [name.slice(prefix.length), count]));
}

/** Kills the entry that began the streams, and takes them up at the other one. */
function takeUpElsewhere(cluster: SimulatedCluster, streams: readonly CallerRecord[]): Outcome {
  cluster.entryAt(0).kill();
  const tokensBefore = streams.map(({ tokens }) => tokens.length);
  const takenUp = streams.map((stream, number) =>
    cluster.entryAt(1).takeUp(stream, `again-${number}`),
  );
  cluster.advance(PATIENCE_MILLISECONDS);
  return {
    begunAtNewVersion: streams.filter(({ versions }) => versions.has('v2')).length,
    ofTwoVersions: takenUp.filter(({ versions }) => versions.size > 1).length,
    goneOn: takenUp.filter(({ tokens }, number) => tokens.length > (tokensBefore[number] ?? 0))
      .length,
    findings: readFindings(cluster),
  };
}

function assertNoneJoined({ begunAtNewVersion, ofTwoVersions }: Outcome, when: string): void {
  assert.ok(begunAtNewVersion > 0, `no stream began at the new version ${when}`);
  assert.equal(ofTwoVersions, 0, `${ofTwoVersions} streams are of two versions ${when}`);
}

function cutOff(cluster: SimulatedCluster): void {
  const entry = cluster.entryAt(1);
  entry.reachesPlatform = false;
  entry.reachesStores = false;
}

// Guards against an entry that takes its last list for all versions that have begun streams since.
test('a stream of a version that joined is not continued at another one by an entry that is cut off', () => {
  [0, 700, 1500, 2500, 2900, 4000, 8000].forEach((age) => {
    const cluster = startCluster();
    cutOff(cluster);
    releaseVersion(cluster);
    cluster.advance(age);
    const outcome = takeUpElsewhere(cluster, startStreams(cluster));
    assertNoneJoined(outcome, `${age} ms after the cut`);
  });
});

// Guards against a list that has waited in a socket and is taken for what is listed when it is handled.
test('a stream of a version that joined is not continued at another one by an entry that stood still', () => {
  [1500, 5000, 9000, 15_000].forEach((standstill) => {
    const cluster = startCluster();
    const entry = cluster.entryAt(1);
    const instances = [...entry.state.backendServers.values()].map(
      ({ platformInstance }) => platformInstance,
    );
    entry.alive = false;
    releaseVersion(cluster);
    cluster.advance(standstill - LIST_INTERVAL_MILLISECONDS);
    const streams = startStreams(cluster);
    cluster.advance(LIST_INTERVAL_MILLISECONDS);
    entry.alive = true;
    cutOff(cluster);
    entry.send({ type: 'instancesListed', instances });
    assertNoneJoined(takeUpElsewhere(cluster, streams), `after ${standstill} ms`);
  });
});

// Guards against stores that have lost both copies of an origin and are taken to say that no version
// has joined: an answer that nothing is known says nothing of the versions.
test('a stream of a version that joined is not continued at another one after the stores forgot it', () => {
  [10, 500, 1500].forEach((overdue) => {
    const cluster = startCluster();
    cluster.entryAt(1).reachesPlatform = false;
    releaseVersion(cluster);
    cluster.advance(overdue);
    const streams = startStreams(cluster);
    cluster.forgetOrigins();
    assertNoneJoined(takeUpElsewhere(cluster, streams), `${overdue} ms after the last list`);
  });
});

// Guards against the same in the moment before the next list, at an entry that reaches everything.
test('a stream of a version that joined is not continued at another one before the next list', () => {
  const cluster = startCluster();
  const entry = cluster.entryAt(1);
  entry.reachesPlatform = false;
  releaseVersion(cluster);
  entry.reachesPlatform = true;
  const streams = startStreams(cluster);
  cluster.forgetOrigins();
  assertNoneJoined(takeUpElsewhere(cluster, streams), 'before the next list');
});

// Guards against logs and metrics in which a stream of known origin cannot be told from one whose version
// was concluded from lists.
test('it is counted how the version of a stream was found that is taken up', () => {
  const known = startCluster();
  assert.deepEqual(takeUpElsewhere(known, startStreams(known)).findings, { known: STREAMS });
  const forgotten = startCluster();
  const streams = startStreams(forgotten);
  forgotten.forgetOrigins();
  assert.deepEqual(takeUpElsewhere(forgotten, streams).findings, { onlyVersion: STREAMS });
  const mixed = startCluster();
  releaseVersion(mixed);
  const unknown = startStreams(mixed);
  mixed.forgetOrigins();
  assert.deepEqual(takeUpElsewhere(mixed, unknown).findings, { unknown: STREAMS });
});

// Guards against safety that is bought by refusals: nothing has joined, or the origins are known.
const harmless: Readonly<Record<string, (cluster: SimulatedCluster) => void>> = {
  'while another version joins': releaseVersion,
  'whose origin the stores have lost, while one version serves': (cluster) =>
    cluster.forgetOrigins(),
};
for (const [what, change] of Object.entries(harmless)) {
  test(`streams go on at an entry in touch ${what}`, () => {
    const cluster = startCluster();
    const streams = startStreams(cluster);
    change(cluster);
    const { ofTwoVersions, goneOn } = takeUpElsewhere(cluster, streams);
    assert.equal(ofTwoVersions, 0);
    assert.ok(goneOn >= LEAST_GONE_ON, `${goneOn} of ${STREAMS} go on`);
  });
}

// Guards against refusals where the platform's list is in reach and shows that no version has joined.
test('streams go on at an entry that reaches the platform but no store, while one version serves', () => {
  const cluster = startCluster();
  cluster.entryAt(1).reachesStores = false;
  const streams = startStreams(cluster);
  const { goneOn } = takeUpElsewhere(cluster, streams);
  assert.ok(goneOn >= LEAST_GONE_ON, `${goneOn} of ${STREAMS} go on`);
});
