import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ageHistory, MAX_LIST_GAP_MILLISECONDS, VersionHistory } from './VersionHistory.js';

const POOL = 'engines';

function record(history: VersionHistory, versions: readonly string[], now: number): void {
  history.recordList(new Map([[POOL, new Set(versions)]]), now, now);
}

function makeHistory(lists: readonly (readonly string[])[]): VersionHistory {
  const history = new VersionHistory();
  lists.forEach((versions, second) => record(history, versions, second * 1000));
  return history;
}

/** What a process that starts at `now` on its own clock knows after it has adopted the history. */
function adoptAfter(
  history: VersionHistory,
  at: number,
  elapsed: number,
  now: number,
): VersionHistory {
  const message = history.toMessage(at, at);
  assert.ok(message !== undefined);
  const adopted = new VersionHistory();
  adopted.adopt(ageHistory(message, elapsed), now, { askedAt: now, isStarting: true });
  return adopted;
}

test('a version counts until the first list without it', () => {
  const history = makeHistory([['v1'], ['v1', 'v2'], ['v2'], ['v2']]);
  assert.deepEqual([...history.listVersions(POOL, 2000)].sort(), ['v1', 'v2']);
  assert.deepEqual([...history.listVersions(POOL, 2001)], ['v2']);
});

// Guards against a stream that began before the first list, at a version that no list has shown.
test('versions are complete since the first list only', () => {
  const history = new VersionHistory();
  assert.equal(history.isComplete(POOL, 0), false);
  record(history, ['v1'], 5000);
  assert.equal(history.isComplete(POOL, 4999), false);
  assert.equal(history.isComplete(POOL, 5000), true);
});

// Guards against a version that came and went while no list was received.
test('versions are complete only since the last long gap between lists', () => {
  const history = makeHistory([['v1'], ['v1']]);
  record(history, ['v1'], 1000 + MAX_LIST_GAP_MILLISECONDS);
  assert.equal(history.isComplete(POOL, 0), true);
  const afterGap = 2000 + 2 * MAX_LIST_GAP_MILLISECONDS;
  record(history, ['v1'], afterGap);
  assert.equal(history.isComplete(POOL, afterGap - 1), false);
  assert.equal(history.isComplete(POOL, afterGap), true);
});

// Guards against an entry that starts after all others were killed and knows its own first list only.
for (const isListFirst of [true, false]) {
  const order = isListFirst ? 'before' : 'after';
  test(`a process that starts knows the versions of the time before, its list coming ${order}`, () => {
    const earlier = makeHistory([['v1'], ['v1'], ['v1']]);
    const message = earlier.toMessage(2000, 2000);
    assert.ok(message !== undefined);
    const started = new VersionHistory();
    // 3 s later, by a clock of its own.
    if (isListFirst) record(started, ['v2'], 100_000);
    started.adopt(ageHistory(message, 3000), 100_000, { askedAt: 100_000, isStarting: true });
    if (!isListFirst) record(started, ['v2'], 100_000);
    assert.equal(started.isComplete(POOL, 95_000), true);
    assert.equal(started.isComplete(POOL, 94_999), false);
    assert.deepEqual([...started.listVersions(POOL, 99_000)].sort(), ['v1', 'v2']);
    record(started, ['v2'], 101_000);
    assert.deepEqual([...started.listVersions(POOL, 100_001)], ['v2']);
  });
}

// Guards against a store that was down for long, while entries began streams at versions it never saw.
test('a history that ended long before the first list does not make versions complete', () => {
  const started = adoptAfter(makeHistory([['v1']]), 0, 60_000, 100_000);
  record(started, ['v1'], 100_000);
  assert.equal(started.isComplete(POOL, 99_999), false);
  const running = new VersionHistory();
  record(running, ['v1'], 100_000);
  const message = makeHistory([['v1']]).toMessage(0, 0);
  assert.ok(message !== undefined);
  running.adopt(ageHistory(message, 60_000), 101_000, { askedAt: 101_000, isStarting: true });
  assert.equal(running.isComplete(POOL, 99_999), false);
});

// Guards against memory that grows with each release, and against a version that is dropped in silence.
test('the versions of many releases are dropped, and are then not complete', () => {
  const history = makeHistory(Array.from({ length: 40 }, (_, second) => [`v${second}`]));
  assert.equal(history.listVersions(POOL, -Infinity).size, 16);
  assert.equal(history.isComplete(POOL, 0), false);
  assert.equal(history.isComplete(POOL, 30_000), true);
});

// Guards against a store that was suspended and gives the age of its last list by a clock that stood still.
test('a store that was suspended does not vouch for the time in which it was', () => {
  const store = new VersionHistory();
  const listed = new Map([['engines', new Set(['v1'])]]);
  for (let now = 0; now <= 30_000; now += 1000) store.recordList(listed, now, now);
  // Suspended for a minute, of which the monotonic clock shows nothing.
  const message = store.toMessage(30_100, 90_100);
  assert.ok(message !== undefined);
  const entry = new VersionHistory();
  const now = 500_000;
  entry.recordList(listed, now, now);
  entry.adopt(message, now + 10, { askedAt: now, isStarting: false });
  assert.equal(entry.isComplete('engines', now - 17_000), false);
});

// Guards against refusals because of a store that was away during a release: the entry has all lists.
test('a store that was away does not add versions to a time of which an entry has all lists', () => {
  const entry = new VersionHistory();
  const listed = new Map([['engines', new Set(['v2'])]]);
  for (let now = 0; now <= 60_000; now += 1000) entry.recordList(listed, now, now);
  const hour = 3_600_000;
  entry.adopt(
    {
      knownFor: 2 * hour,
      lastListAge: hour,
      pools: { engines: [{ version: 'v1', age: hour, isListed: true }] },
    },
    60_100,
    { askedAt: 60_000, isStarting: false },
  );
  assert.deepEqual([...entry.listVersions('engines', 60_100 - 17_000)], ['v2']);
});

// Guards against a history that does not say that it has dropped versions.
test('a history with more versions than are kept does not count as complete where it is adopted', () => {
  const store = new VersionHistory();
  for (let number = 0; number < 20; number += 1) {
    const now = number * 800;
    store.recordList(new Map([['engines', new Set([`v${number}`])]]), now, now);
  }
  const message = store.toMessage(16_000, 16_000);
  assert.ok(message !== undefined);
  const entry = new VersionHistory();
  entry.recordList(new Map([['engines', new Set(['v19'])]]), 16_000, 16_000);
  entry.adopt(message, 16_000, { askedAt: 16_000, isStarting: true });
  assert.equal(store.isComplete('engines', 100), false);
  assert.equal(entry.isComplete('engines', 100), false);
});
