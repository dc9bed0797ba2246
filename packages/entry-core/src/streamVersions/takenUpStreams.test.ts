/**
 * Streams that callers take up at any entry, while servers of several versions are in use: what is known
 * of where they began, by whom, and what callers get where nobody knows.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StreamResumption } from '../entryEvents.js';
import { makeRequest, SimulatedCluster, type CallerRecord } from '../driver/index.js';

const VERSIONS = ['v1', 'v2'];

function startCluster(versions: readonly string[] = VERSIONS): SimulatedCluster {
  return new SimulatedCluster({ engines: { 'wien-a': 4 }, versions, entries: 3 });
}

/** A stream at the first entry of which its caller has received this many tokens, or a few more. */
function startStream(cluster: SimulatedCluster, name = 'stream', tokens = 10): CallerRecord {
  const caller = cluster.entryAt(0).submitRequest(makeRequest(name));
  while (caller.tokens.length < tokens) cluster.advance(10);
  return caller;
}

function describeEnd({ finalAnswers }: CallerRecord): string | undefined {
  const [end] = finalAnswers;
  return end?.type === 'problem' ? end.kind : end?.type;
}

function assertGoesOn(cluster: SimulatedCluster, caller: CallerRecord): void {
  cluster.runUntilAnswered();
  assert.equal(describeEnd(caller), 'whole');
  assert.deepEqual(cluster.findViolations(), []);
}

/** Takes the stream up with another reference to its beginning than callers give. */
function takeUpWith(
  cluster: SimulatedCluster,
  brokenOff: CallerRecord,
  resumption: Partial<StreamResumption>,
  workspace = brokenOff.request.workspace,
): CallerRecord {
  const afterEvent = String(brokenOff.tokens.length);
  const request = { ...brokenOff.request, requestId: 'again', workspace };
  const resumed = { ...request, resumption: { afterEvent, ...resumption } };
  return cluster.entryAt(1).submitRequest(resumed, brokenOff);
}

test('the entry that began a stream continues it without asking the stores', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.disconnectCaller(0);
  cluster.storeReachable = false;
  assertGoesOn(cluster, cluster.entryAt(0).takeUp(brokenOff, 'again'));
});

// Guards against an origin that is told with a later report: the entry is gone before that.
test('a stream goes on whose entry was killed right after its first event', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster, 'stream', 1);
  cluster.entryAt(0).kill();
  assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'again'));
});

// Guards against tries that are answered by what the last one says, although callers name the first.
test('a stream goes on over several tries, each at another entry', () => {
  const cluster = startCluster();
  const first = startStream(cluster);
  cluster.entryAt(0).kill();
  const second = cluster.entryAt(1).takeUp(first, 'second');
  while (second.tokens.length < first.tokens.length + 10) cluster.advance(10);
  cluster.entryAt(1).kill();
  assertGoesOn(cluster, cluster.entryAt(2).takeUp(second, 'third'));
});

test('a stream goes on at an entry that has restarted', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.entryAt(0).kill();
  cluster.restartEntry(0);
  assertGoesOn(cluster, cluster.entryAt(0).takeUp(brokenOff, 'again'));
});

// Guards against a stream whose origin was never told, since all servers had one version when it began.
test('a stream goes on that began before the second version appeared', () => {
  const cluster = startCluster(['v1']);
  const brokenOff = startStream(cluster);
  cluster.addEngine('wien-a-engine-9', 'wien-a', 'v2');
  cluster.advance(50);
  cluster.entryAt(0).kill();
  assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'again'));
});

// Guards against origins that are told late or again: a stream of a pool with one version is told too,
// since another version may replace it while all entries are down, and told once, as it begins.
test('the origin of each stream is told once, whether or not servers of several versions are in use', () => {
  const cluster = startCluster(['v1']);
  startStream(cluster);
  assert.equal(cluster.originMessages, 1);
  cluster.addEngine('wien-a-engine-9', 'wien-a', 'v2');
  cluster.advance(1000);
  assert.equal(cluster.originMessages, 1);
  startStream(cluster, 'next');
  assert.equal(cluster.originMessages, 2);
});

// Guards against frames for streams that go on at any server.
test('no origins are told where the platform states no versions', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 4 }, entries: 3 });
  startStream(cluster);
  assert.equal(cluster.originMessages, 0);
});

// Guards against an entry that knows versions from its own first list on only, and takes the version of
// a stream that nobody knows for that one: the stores have lost their disks as well.
test('a stream of unknown origin is refused until versions are known for as long as it may have run', () => {
  const cluster = startCluster(['v1']);
  const brokenOff = startStream(cluster);
  cluster.entries.forEach((entry) => entry.kill());
  cluster.forgetOrigins();
  cluster.forgetVersions();
  cluster.restartEntry(1);
  const refused = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(300);
  assert.equal(describeEnd(refused), 'versionUnavailable');
});

// Guards against a request that waits in a queue and is then sent to a version that was listed meanwhile.
test('a stream of unknown origin stays with the only version at its arrival', () => {
  const cluster = startCluster(['v1']);
  const brokenOff = startStream(cluster);
  cluster.entryAt(0).kill();
  cluster.forgetOrigins();
  const servers = [...cluster.engines.values()];
  servers.forEach((engine) => engine.die());
  const caller = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(100);
  cluster.addEngine('wien-a-engine-9', 'wien-a', 'v2');
  cluster.publishAliveEngines();
  cluster.advance(10_000);
  assert.deepEqual([...caller.versions], ['v1']);
  assert.equal(caller.tokens.length, brokenOff.tokens.length);
});

// Guards against a store that starts anew and is not told what it kept, while the entries go one by one.
test('a stream goes on whose origin the stores had lost', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.forgetOrigins();
  cluster.entryAt(0).send({ type: 'originStoresChanged' });
  cluster.advance(50);
  cluster.entryAt(0).kill();
  assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'again'));
});

// Guards against a guess where nobody can say which version began, and against a caller who waits for it
// until its deadline.
test('a stream is refused soon while no store can be asked', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.entryAt(0).kill();
  cluster.storeReachable = false;
  const caller = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(300);
  assert.equal(describeEnd(caller), 'versionUnavailable');
  const [end] = caller.finalAnswers;
  assert.equal(end?.type === 'problem' ? end.ran : undefined, 'no');
});

// Guards against a caller who comes back when it was told to and is refused by an answer that is old: the
// stores can be asked again by then.
test('a stream that was refused goes on after the stated time if the stores can be asked then', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.entryAt(0).kill();
  cluster.storeReachable = false;
  const refused = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(300);
  const [end] = refused.finalAnswers;
  assert.ok(end?.type === 'problem' && end.retryAfterMilliseconds !== undefined);
  cluster.storeReachable = true;
  cluster.advance(end.at + end.retryAfterMilliseconds - cluster.clock().now);
  assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'once more'));
});

const badReferences: Readonly<Record<string, Partial<StreamResumption>>> = {
  'that names no request': {},
  'that names an unknown request': { firstRequestId: 'nobody' },
  'that names two requests': { firstRequestId: 'stream, stream' },
};
for (const [what, resumption] of Object.entries(badReferences)) {
  test(`a stream ${what} is refused while versions are mixed`, () => {
    const cluster = startCluster();
    const brokenOff = startStream(cluster);
    cluster.entryAt(0).kill();
    const caller = takeUpWith(cluster, brokenOff, resumption);
    cluster.advance(300);
    assert.equal(describeEnd(caller), 'versionUnavailable');
  });

  test(`a stream ${what} goes on while all servers have one version`, () => {
    const cluster = startCluster(['v1']);
    const brokenOff = startStream(cluster);
    cluster.entryAt(0).kill();
    assertGoesOn(cluster, takeUpWith(cluster, brokenOff, resumption));
  });
}

// Guards against a caller who continues, or learns anything of, the stream of another workspace.
test('a stream of another workspace is refused like one that nobody knows', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  const resumption = { firstRequestId: brokenOff.request.requestId };
  const caller = takeUpWith(cluster, brokenOff, resumption, 'another');
  cluster.advance(300);
  assert.equal(describeEnd(caller), 'versionUnavailable');
});

// Guards against memory that grows with each stream; its caller has given up by then.
test('the origin of a stream is forgotten after the deadline of its caller', () => {
  const cluster = startCluster();
  const caller = cluster.entryAt(0).submitRequest(makeRequest('stream', { patience: 5000 }));
  while (caller.tokens.length < 10) cluster.advance(10);
  const { state } = cluster.entryAt(0);
  const find = () => state.streamOrigins.find('stream', 'wien-shops', cluster.clock().now);
  assert.equal(find()?.version, [...caller.versions][0]);
  cluster.advance(70_000);
  assert.equal(find(), undefined);
});

// Guards against a stream that is completed by another version, or held, when its own is gone for good.
test('a stream is refused at once when no server of its version is listed any more', () => {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 3 },
    versions: ['v1', 'v2', 'v2'],
    entries: 2,
  });
  const callers = ['one', 'two', 'three'].map((name) => startStream(cluster, name));
  const brokenOff = callers.find(({ versions }) => versions.has('v1'));
  assert.ok(brokenOff !== undefined);
  cluster.entryAt(0).kill();
  cluster.engine('wien-a-engine-1').die();
  cluster.publishAliveEngines();
  const caller = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(50);
  assert.equal(describeEnd(caller), 'versionUnavailable');
});

/** A cluster whose second entry has received no list of instances and reached no store since 5 s ago. */
function startWithEntryOutOfTouch(): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 2 },
    versions: ['v1'],
    entries: 2,
    listIntervalMilliseconds: 1000,
  });
  const outOfTouch = cluster.entryAt(1);
  outOfTouch.reachesPlatform = false;
  outOfTouch.reachesStores = false;
  cluster.addEngine('wien-a-engine-3', 'wien-a', 'v2');
  cluster.addEngine('wien-a-engine-4', 'wien-a', 'v2');
  cluster.advance(5000);
  return cluster;
}

function startStreamOf(cluster: SimulatedCluster, version: string): CallerRecord {
  const names = ['one', 'two', 'three', 'four', 'five', 'six', 'seven', 'eight'];
  const callers = names.map((name) => startStream(cluster, name));
  const caller = callers.find(({ versions }) => versions.has(version));
  assert.ok(caller !== undefined);
  return caller;
}

// Guards against an entry that takes the versions of its last list for all that there are: it is out of
// touch, and the stream began at a version that it has never seen.
test('a stream is not continued by an entry that misses the list with its version', () => {
  const cluster = startWithEntryOutOfTouch();
  const brokenOff = startStreamOf(cluster, 'v2');
  cluster.entryAt(0).kill();
  const caller = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(1000);
  assert.deepEqual([...caller.versions], ['v2']);
  assert.equal(describeEnd(caller), 'versionUnavailable');
});

// Guards against the same where the lists before and after the gap hold one version each.
test('a stream is not continued by an entry that missed the change from its version to the next', () => {
  const cluster = startWithEntryOutOfTouch();
  const brokenOff = startStreamOf(cluster, 'v1');
  cluster.entryAt(0).kill();
  cluster.engine('wien-a-engine-1').die();
  cluster.engine('wien-a-engine-2').die();
  cluster.entryAt(1).reachesPlatform = true;
  cluster.publishAliveEngines();
  const caller = cluster.entryAt(1).takeUp(brokenOff, 'again');
  cluster.advance(1000);
  assert.deepEqual([...caller.versions], ['v1']);
  assert.equal(describeEnd(caller), 'versionUnavailable');
});

// Guards against refusals where nothing speaks for a second version: stores or lists are enough.
for (const missing of ['reachesPlatform', 'reachesStores'] as const) {
  test(`a stream goes on at an entry of which ${missing} is false while servers have one version`, () => {
    const cluster = new SimulatedCluster({
      engines: { 'wien-a': 2 },
      versions: ['v1'],
      entries: 2,
      listIntervalMilliseconds: 1000,
    });
    cluster.entryAt(1)[missing] = false;
    cluster.advance(5000);
    const brokenOff = startStream(cluster);
    cluster.entryAt(0).kill();
    assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'again'));
  });
}

// Guards against a store that starts anew and is told of the streams that still run only: the callers of
// those that broke off are the ones who come back.
test('a stream that broke off goes on whose origin the stores had lost', () => {
  const cluster = startCluster();
  const brokenOff = startStream(cluster);
  cluster.disconnectCaller(0);
  cluster.advance(1000);
  cluster.forgetOrigins();
  cluster.entryAt(0).send({ type: 'originStoresChanged' });
  cluster.advance(50);
  cluster.entryAt(0).kill();
  assertGoesOn(cluster, cluster.entryAt(1).takeUp(brokenOff, 'again'));
});

// Guards against a store that is told by the entry alone that began a stream, which is gone by then.
test('a stream goes on whose origin the stores had lost, and an entry had asked for', () => {
  const cluster = startCluster();
  const first = startStream(cluster);
  cluster.entryAt(0).kill();
  const second = cluster.entryAt(1).takeUp(first, 'second');
  while (second.tokens.length < first.tokens.length + 10) cluster.advance(10);
  cluster.forgetOrigins();
  cluster.entryAt(1).send({ type: 'originStoresChanged' });
  cluster.advance(50);
  cluster.entryAt(1).kill();
  assertGoesOn(cluster, cluster.entryAt(2).takeUp(second, 'third'));
});
