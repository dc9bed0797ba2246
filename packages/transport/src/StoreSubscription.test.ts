import assert from 'node:assert/strict';
import { test } from 'node:test';
import { emptyConfiguration, type StoreRequest, type StoreResponse } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { StoreSubscription, type StorePeer } from './StoreSubscription.js';

const REPORT = {
  instance: 'entry-1',
  dataCentre: 'wien-a',
  role: 'entry',
  revision: 0,
  cutOff: false,
} as const;

/** A store that answers at once with the revision that it holds. */
class FakeStore implements StorePeer {
  revision = 3;

  subscriptions = 0;

  readonly address;

  readonly client = {
    isOpen: true,
    request: async (request: unknown): Promise<unknown> => this.answer(request as StoreRequest),
    close: () => {},
  };

  constructor(instance: string, dataCentre: string) {
    this.address = { instance, dataCentre, host: '127.0.0.1', port: 1 };
  }

  get accepted(): StoreResponse {
    return { type: 'accepted', revision: this.revision };
  }

  private answer({ type }: StoreRequest): StoreResponse {
    assert.equal(type, 'subscribe');
    this.subscriptions += 1;
    const configuration = { ...emptyConfiguration, revision: this.revision };
    const remembered = { usage: [], delays: {}, computed: {} };
    return { type: 'subscribed', configuration, quarantine: [], stores: [], remembered };
  }
}

/** An entry that follows the store of its own data centre, with another one within reach. */
async function subscribeEntry() {
  const timers = new ManualTimerService();
  const own = new FakeStore('store-1', 'wien-a');
  const other = new FakeStore('store-2', 'wien-b');
  const revisions: number[] = [];
  const subscription = new StoreSubscription({
    timers,
    report: REPORT,
    handlers: { onConfiguration: ({ revision }) => revisions.push(revision) },
    readStores: () => [own, other],
    onMembers: () => {},
  });
  subscription.subscribeIfNeeded();
  await flushPendingCallbacks();
  return { timers, own, other, revisions, subscription };
}

/** Lets answers that have been given reach whoever waits for them. */
async function flushPendingCallbacks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// The store that an entry follows is cut off from the other stores, and hears of no change. It does
// not know so itself for seconds. Meanwhile a route is added and acknowledged: callers of this entry
// would get 404 for it. The other store's answer to the entry's next report gives it away.
test('an entry leaves a store that is behind what another store holds', async () => {
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

// All stores apply a change within milliseconds of each other, but answers overtake pushes. Moving
// at once would have every entry ask for all tables again at each change.
test('an entry stays with its store if the change comes from there a moment later', async () => {
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

// A store that is behind says so in its answers; nothing is gained by a move to it.
test('an older store draws nobody', async () => {
  const { timers, other, subscription } = await subscribeEntry();
  other.revision = 2;
  subscription.handleReportResponse(other, other.accepted);
  timers.advance(1000);
  await flushPendingCallbacks();
  assert.equal(other.subscriptions, 0);
});
