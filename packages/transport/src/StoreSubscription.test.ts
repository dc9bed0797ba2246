import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  emptyConfiguration,
  type EntryDigest,
  type StoreRequest,
  type StoreResponse,
} from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { DigestWatch } from './DigestWatch.js';
import { StoreSubscription, type DigestGap, type StorePeer } from './StoreSubscription.js';

const REPORT = {
  instance: 'entry-1',
  dataCentre: 'wien-a',
  role: 'entry',
  revision: 0,
  cutOff: false,
} as const;

function makeDigest(sequence: number): EntryDigest {
  return {
    sequence,
    reports: [],
    spending: [],
    work: { servers: [], inProgress: [], promptTokens: [] },
    included: {},
    computed: {},
    usage: [],
  };
}

/** A store that answers every subscription with a configuration of its revision. */
class FakeStore implements StorePeer {
  revision = 3;

  subscriptions = 0;

  /** Those of processes that have no configuration yet. */
  startingSubscriptions = 0;

  digestSequence = 10;

  unsubscriptions = 0;

  answersSubscriptions = true;

  /** How long its answers are under way, by the clock of `timers`. */
  answerDelay = 0;

  timers: ManualTimerService | undefined;

  answerBytes = 200;

  readonly address;

  readonly client = {
    isOpen: true,
    bulkReceivedAt: 0,
    bytesReceived: 0,
    request: async (request: unknown, timeout: number): Promise<unknown> => {
      const response = this.answer(request as StoreRequest);
      const { timers, answerDelay } = this;
      await new Promise<void>((resolve) => {
        if (timers === undefined) resolve();
        else timers.after(Math.min(answerDelay, timeout), resolve);
      });
      this.client.bytesReceived += this.answerBytes;
      if (!this.answersSubscriptions || answerDelay > timeout) throw new Error('no answer in time');
      return response;
    },
    push: () => {
      this.unsubscriptions += 1;
      return true;
    },
    close: () => {},
  };

  constructor(instance: string, dataCentre: string) {
    this.address = { instance, dataCentre, host: '127.0.0.1', port: 1 };
  }

  get accepted(): StoreResponse {
    return { type: 'accepted', revision: this.revision };
  }

  private answer(request: StoreRequest): StoreResponse {
    assert.ok(request.type === 'subscribe');
    this.subscriptions += 1;
    if (request.isStarting === true) this.startingSubscriptions += 1;
    const configuration = { ...emptyConfiguration, revision: this.revision };
    const remembered = { usage: [], delays: {}, computed: {} };
    const digest = makeDigest(this.digestSequence);
    return { type: 'subscribed', configuration, quarantine: [], stores: [], remembered, digest };
  }
}

/** Subscribes an entry to the store of its own data centre, with another store reachable. */
async function subscribeEntry() {
  const timers = new ManualTimerService();
  const own = new FakeStore('store-1', 'wien-a');
  const other = new FakeStore('store-2', 'wien-b');
  const revisions: number[] = [];
  const digests: { readonly sequence: number; readonly isWhole: boolean }[] = [];
  const gaps: DigestGap[] = [];
  const order: string[] = [];
  const subscription = new StoreSubscription({
    timers,
    report: REPORT,
    handlers: {
      onConfiguration: ({ revision }) => {
        order.push('configuration');
        revisions.push(revision);
      },
      onEntryDigest: ({ sequence }, isWhole) => {
        order.push('digest');
        digests.push({ sequence, isWhole });
      },
      onQuarantine: () => order.push('quarantine'),
      onPersistedState: () => order.push('persisted state'),
    },
    onDigestGap: (gap) => gaps.push(gap),
    readStores: () => [own, other],
    onMembers: () => {},
  });
  subscription.subscribeIfNeeded();
  await flushPendingCallbacks();
  return { timers, own, other, revisions, digests, gaps, order, subscription };
}

/** Waits until answered requests have been handled. */
async function flushPendingCallbacks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// The store of an entry is partitioned from the other stores and takes seconds to notice. Without
// the switch, callers of this entry get 404 for a route that has been added meanwhile.
test('an entry switches from a store that stays behind another one', async () => {
  const { timers, own, other, revisions, subscription } = await subscribeEntry();
  other.revision = 4;
  subscription.handleReportResponse(own, own.accepted);
  subscription.handleReportResponse(other, other.accepted);
  timers.advance(249);
  await flushPendingCallbacks();
  assert.deepEqual(revisions, [3]);
  timers.advance(1);
  await flushPendingCallbacks();
  assert.deepEqual(revisions, [3, 4]);
  assert.equal(other.subscriptions, 1);
});

// An entry is behind, and the answer to a subscription, with all state in it, takes longer on its link than
// the second between two reports. Guards against an entry that leaves each store for the next one before
// the answer is there, fills its link with answers that nobody waits for, and stays behind for good.
test('an entry that is behind waits for the answer of the store that it turned to', async () => {
  const { timers, own, other, revisions, subscription } = await subscribeEntry();
  const stores = [own, other];
  other.answerDelay = 1300;
  own.answerDelay = 1300;
  other.timers = timers;
  own.timers = timers;
  stores.forEach((store) => {
    store.revision = 4;
  });
  for (let step = 0; step < 40; step += 1) {
    if (step % 10 === 0) {
      stores.forEach((store) => subscription.handleReportResponse(store, store.accepted));
    }
    timers.advance(100);
    await flushPendingCallbacks();
  }
  assert.equal(revisions.at(-1), 4);
});

// The followed store says itself that it has the change, so its push is under way behind other pushes.
// Guards against asking another store for the whole state, which takes longer and delays the push.
test('an entry waits for a change that its own store has', async () => {
  const { timers, own, other, subscription } = await subscribeEntry();
  own.revision = 4;
  other.revision = 4;
  subscription.handleReportResponse(other, other.accepted);
  timers.advance(200);
  subscription.handleReportResponse(own, own.accepted);
  timers.advance(600);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 0);
  subscription.receivePush(own.address, {
    type: 'configurationDelta',
    delta: { fromRevision: 3, toRevision: 4 },
  });
  timers.advance(3000);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 0);
});

// Stores apply a change within milliseconds of each other, but answers may overtake pushes. If
// entries switched immediately, each change would make all of them request all tables again.
test('an entry stays with its store if that store sends the change shortly after', async () => {
  const { timers, own, other, revisions, subscription } = await subscribeEntry();
  other.revision = 4;
  subscription.handleReportResponse(other, other.accepted);
  timers.advance(20);
  subscription.receivePush(own.address, {
    type: 'configurationDelta',
    delta: { fromRevision: 3, toRevision: 4 },
  });
  timers.advance(1000);
  await flushPendingCallbacks();
  assert.deepEqual(revisions, [3, 4]);
  assert.deepEqual([own.subscriptions, other.subscriptions], [1, 0]);
});

// Switching to a store that is behind would only delay changes.
test('an entry does not switch to a store with an older revision', async () => {
  const { timers, other, subscription } = await subscribeEntry();
  other.revision = 2;
  subscription.handleReportResponse(other, other.accepted);
  timers.advance(1000);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 0);
});

// Guards against work that looks as if it never ended because the digest with its end was lost.
test('after a gap between digests a complete one is requested', async () => {
  const { own, digests, gaps, subscription } = await subscribeEntry();
  const receive = (sequence: number) =>
    subscription.receivePush(own.address, { type: 'entryDigest', digest: makeDigest(sequence) });
  receive(11);
  receive(11);
  own.digestSequence = 13;
  receive(13);
  await flushPendingCallbacks();
  receive(14);
  assert.deepEqual(digests, [
    { sequence: 10, isWhole: true },
    { sequence: 11, isWhole: false },
    { sequence: 13, isWhole: true },
    { sequence: 14, isWhole: false },
  ]);
  assert.deepEqual(gaps, [{ expected: 12, received: 13 }]);
  assert.equal(own.subscriptions, 2);
});

// The answer holds the whole state, and takes seconds on a full link or in a busy process. Guards against a
// change of the configuration that has arrived before it and waits for it.
test('a configuration that arrives ahead of the answer is in force at once', async () => {
  const { timers, own, other, revisions, subscription } = await subscribeEntry();
  other.answerDelay = 5000;
  other.timers = timers;
  other.revision = 4;
  subscription.receivePush(own.address, { type: 'outOfTouch' });
  const configuration = { ...emptyConfiguration, revision: 4 };
  subscription.receivePush(other.address, { type: 'configuration', configuration });
  assert.deepEqual(revisions, [3, 4]);
});

// A starting entry admits the requests that wait for its configuration at the moment it gets one.
// Guards against sending them to backend servers of which the other entries know better.
test('a starting entry learns what the others know before it gets its configuration', async () => {
  const { order } = await subscribeEntry();
  assert.deepEqual(order, ['persisted state', 'quarantine', 'digest', 'configuration']);
});

// Guards against a store that gets the subscriptions of all entries after a loss of power, because it
// listens first: those it can't answer in time wait for their timeouts.
test('entries in data centres without a store spread their subscriptions over all stores', () => {
  const stores = ['b', 'c', 'd'].map(
    (dataCentre) => new FakeStore(`store-${dataCentre}`, dataCentre),
  );
  for (let entry = 0; entry < 300; entry += 1) {
    new StoreSubscription({
      timers: new ManualTimerService(),
      report: REPORT,
      handlers: {},
      readStores: () => stores,
      onMembers: () => {},
    }).subscribeIfNeeded();
  }
  stores.forEach(({ subscriptions }) => assert.ok(subscriptions >= 50, String(subscriptions)));
});

// Guards against a process that is sent everything by each store that it has followed: after a partition
// of the stores, digests of eight stores filled the links of entries for most of a minute.
test('a process that turns to another store unsubscribes from the previous one', async () => {
  const { own, other, subscription } = await subscribeEntry();
  subscription.receivePush(own.address, { type: 'outOfTouch' });
  await flushPendingCallbacks();
  assert.deepEqual([own.unsubscriptions, other.unsubscriptions], [1, 0]);
  subscription.receivePush(other.address, { type: 'outOfTouch' });
  await flushPendingCallbacks();
  assert.deepEqual([own.unsubscriptions, other.unsubscriptions], [1, 1]);
});

// Guards against an entry on a slow link that is sent what only starting entries need each time that it
// turns to another store.
test('only a process without a configuration asks for what stores keep for starting ones', async () => {
  const { own, other, subscription } = await subscribeEntry();
  subscription.receivePush(own.address, { type: 'outOfTouch' });
  await flushPendingCallbacks();
  assert.deepEqual([own.startingSubscriptions, other.startingSubscriptions], [1, 0]);
  assert.equal(other.subscriptions, 1);
});

// A store without a leader sends all of its subscribers away at once. Guards against another store that
// gets all of them in one moment: each is sent the whole state, and waits for that of the others.
test('the subscribers of a store that is out of touch spread over the others', async () => {
  const stores = ['a', 'b', 'c', 'd'].map(
    (dataCentre) => new FakeStore(`store-${dataCentre}`, `wien-${dataCentre}`),
  );
  const subscriptions = Array.from({ length: 300 }, () => {
    const subscription = new StoreSubscription({
      timers: new ManualTimerService(),
      report: REPORT,
      handlers: {},
      readStores: () => stores,
      onMembers: () => {},
    });
    subscription.subscribeIfNeeded();
    return subscription;
  });
  await flushPendingCallbacks();
  const [own, ...others] = stores;
  assert.equal(own?.subscriptions, 300);
  subscriptions.forEach((subscription) =>
    subscription.receivePush(own.address, { type: 'outOfTouch' }),
  );
  others.forEach((store) => assert.ok(store.subscriptions >= 50, String(store.subscriptions)));
});

// Guards against the same where a store answers a subscription too late.
test('a process unsubscribes from a store that has not answered in time', async () => {
  const { own, other, subscription } = await subscribeEntry();
  other.answersSubscriptions = false;
  subscription.receivePush(own.address, { type: 'outOfTouch' });
  await flushPendingCallbacks();
  assert.deepEqual([own.unsubscriptions, other.unsubscriptions], [1, 1]);
});

// A store is frozen, and its connection is closed only after five heartbeats. Guards against an entry
// that knows nothing of the others' spending and work meanwhile, and refuses requests within limits.
test('an entry turns to another store when its own sends no more digests', async () => {
  const { timers, other, subscription, digests, own } = await subscribeEntry();
  for (let sequence = 11; sequence <= 20; sequence += 1) {
    timers.advance(1000);
    subscription.receivePush(own.address, { type: 'entryDigest', digest: makeDigest(sequence) });
  }
  timers.advance(1000);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 0);
  timers.advance(300);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 1);
  assert.equal(own.unsubscriptions, 1);
  assert.deepEqual(digests.at(-1), { sequence: 10, isWhole: true });
});

test('an entry leaves a silent store sooner where digests are frequent', async () => {
  const { timers, other, subscription, own } = await subscribeEntry();
  for (let sequence = 11; sequence <= 250; sequence += 1) {
    timers.advance(50);
    subscription.receivePush(own.address, { type: 'entryDigest', digest: makeDigest(sequence) });
  }
  timers.advance(250);
  assert.equal(other.subscriptions, 0);
  timers.advance(200);
  assert.equal(other.subscriptions, 1);
});

// A large digest takes longer on a slow link than the silence that is tolerated. Guards against an entry
// that goes from store to store, and is sent the whole state by each, because its link is full.
test('an entry stays with a store from which bytes arrive', async () => {
  const { timers, other, subscription, own } = await subscribeEntry();
  for (let sequence = 11; sequence <= 250; sequence += 1) {
    timers.advance(50);
    subscription.receivePush(own.address, { type: 'entryDigest', digest: makeDigest(sequence) });
  }
  for (let read = 0; read < 10; read += 1) {
    timers.advance(100);
    own.client.bulkReceivedAt = timers.monotonicNow();
  }
  assert.equal(other.subscriptions, 0);
  timers.advance(400);
  assert.equal(other.subscriptions, 1);
});

// Guards against a digest that is applied in spite of a lost one before it.
test('a digest of several intervals is applied if it begins where this entry is, or before', async () => {
  const { own, digests, gaps, subscription } = await subscribeEntry();
  const receive = (sequence: number, since: number) =>
    subscription.receivePush(own.address, {
      type: 'entryDigest',
      digest: { ...makeDigest(sequence), since },
    });
  receive(14, 10);
  receive(20, 12);
  own.digestSequence = 30;
  receive(30, 21);
  await flushPendingCallbacks();
  assert.deepEqual(digests, [
    { sequence: 10, isWhole: true },
    { sequence: 14, isWhole: false },
    { sequence: 20, isWhole: false },
    { sequence: 30, isWhole: true },
  ]);
  assert.deepEqual(gaps, [{ expected: 21, received: 22 }]);
});

// Guards against leaving a store although this process was frozen itself and has not read its input.
test('an entry that was frozen itself stays with its store', () => {
  const watch = new DigestWatch(0);
  watch.recordDigest(20);
  assert.equal(watch.isSilent(100, 0), false);
  assert.equal(watch.isSilent(5000, 0), false);
  watch.recordDigest(5010);
  assert.equal(watch.isSilent(5100, 0), false);
});
