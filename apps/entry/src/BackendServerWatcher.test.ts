import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlatformAdapter, type InstanceStartResult } from '@hornbeampond/adapters';
import { Logger } from '@hornbeampond/runtime';
import { emptyConfiguration, type PlatformInstance } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { AdapterDirectory } from './AdapterDirectory.js';
import { BackendServerWatcher } from './BackendServerWatcher.js';

const instance: PlatformInstance = {
  instance: 'engine-1',
  dataCentre: 'wien-a',
  instanceClass: 'reclaimable',
  pool: 'engines',
  state: 'live',
  host: '127.0.0.1',
  port: 1,
};

class CountingPlatform extends PlatformAdapter {
  readCount = 0;

  isDown = false;

  override async listInstances(): Promise<readonly PlatformInstance[]> {
    this.readCount += 1;
    if (this.isDown) throw new Error('the platform does not respond');
    return [instance];
  }

  override async readNotices() {
    return [];
  }

  override async startInstance(): Promise<InstanceStartResult> {
    return { type: 'refused', reason: 'not here' };
  }

  override async endInstance(): Promise<void> {
    throw new Error('not here');
  }

  override async close(): Promise<void> {
    // Nothing to close.
  }
}

class CountingTimers extends ManualTimerService {
  scheduled = 0;

  override after(...call: Parameters<ManualTimerService['after']>) {
    this.scheduled += 1;
    return super.after(...call);
  }
}

/** Entries that share one platform and receive the lists that any of them reads. */
class SimulatedEntries {
  readonly timers = new CountingTimers();

  readonly platform = new CountingPlatform();

  listedCount = 0;

  /** What the entries were told of lists, with the times at which they were asked for. */
  readonly listEvents: { readonly type: string; readonly readAt: number | undefined }[] = [];

  private readonly watchers: BackendServerWatcher[];

  constructor(count: number, listLagMilliseconds = 0) {
    const { timers, platform } = this;
    this.watchers = Array.from({ length: count }, () => {
      const watcher: BackendServerWatcher = new BackendServerWatcher({
        platform,
        adapters: new AdapterDirectory(
          () => {
            throw new Error('no backend server is called');
          },
          () => {},
        ),
        timers,
        logger: new Logger({ process: 'test', instance: 'entry-1' }, 'error'),
        pollMilliseconds: 1000,
        listLagMilliseconds,
        readConfiguration: () => emptyConfiguration,
        dispatch: (event) => {
          if (event.type !== 'instancesListed' && event.type !== 'instancesUnread') return;
          if (event.type === 'instancesListed') this.listedCount += 1;
          this.listEvents.push({ type: event.type, readAt: event.readAt });
        },
        shareInstances: (instances) => this.sendList(instances),
        countEntries: () => count,
      });
      return watcher;
    });
  }

  async start(): Promise<void> {
    await Promise.all(this.watchers.map(async (watcher) => watcher.start()));
  }

  readForRequests(): void {
    this.watchers.forEach((watcher) => watcher.readForRequests());
  }

  sendList(instances: readonly PlatformInstance[], age = 0, readAt?: number): void {
    this.watchers.forEach((watcher) => watcher.receiveInstances(instances, age, readAt));
  }

  /** Advances the clock in steps; each step lets started reads complete. */
  async advance(duration: number): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += 50) {
      this.timers.advance(50);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

// The lease holder reads the list each second and sends it to all entries. If each of many entries read
// it too, the cluster would exceed the platform's limit on calls.
test('entries that receive the list do not read it', async () => {
  const entries = new SimulatedEntries(50);
  await entries.start();
  entries.sendList([instance]);
  for (let second = 0; second < 10; second += 1) {
    await entries.advance(1000);
    entries.sendList([instance]);
  }
  assert.equal(entries.platform.readCount, 0);
});

// Guards against an entry that wakes up many times per second to find that its list is not overdue.
test('an entry that receives the list each second sets one timer for each', async () => {
  const entries = new SimulatedEntries(1);
  await entries.start();
  for (let second = 0; second < 10; second += 1) {
    entries.sendList([instance]);
    await entries.advance(1000);
  }
  assert.ok(entries.timers.scheduled <= 11, String(entries.timers.scheduled));
});

// Without lists from the lease holder, entries would keep sending calls to instances that have been
// removed.
test('when the list is overdue, about one entry per interval reads it', async () => {
  const entries = new SimulatedEntries(8);
  await entries.start();
  entries.sendList([instance]);
  const countBefore = entries.listedCount;
  await entries.advance(2000);
  assert.ok(entries.listedCount > countBefore);
  await entries.advance(8000);
  const { readCount } = entries.platform;
  assert.ok(readCount >= 5 && readCount <= 12, String(readCount));
});

// All entries start together and the platform does not respond.
test('starting entries retry once a second until one has read the list', async () => {
  const entries = new SimulatedEntries(8);
  entries.platform.isDown = true;
  await entries.start();
  await entries.advance(3000);
  const { readCount } = entries.platform;
  assert.ok(readCount >= 16 && readCount <= 32, String(readCount));
  entries.platform.isDown = false;
  await entries.advance(2000);
  assert.ok(entries.listedCount >= 8);
});

test('an entry that receives an outdated list soon reads a new one', async () => {
  const entries = new SimulatedEntries(1);
  await entries.start();
  entries.sendList([instance], 60_000);
  await entries.advance(200);
  assert.equal(entries.platform.readCount, 1);
});

// Guards against an entry that takes a list for new because it has just arrived: it may have waited in a
// socket or at a store.
test('a list that another process has read says nothing of the time at which it was asked for', async () => {
  const entries = new SimulatedEntries(1);
  await entries.start();
  entries.sendList([instance]);
  assert.deepEqual(entries.listEvents, [{ type: 'instancesListed', readAt: undefined }]);
});

// Guards against a list that lags: asked for at once, it may lack a server that other entries use.
test('a list that is read for requests shows what is listed when they ask', async () => {
  const lag = 800;
  const entries = new SimulatedEntries(1, lag);
  await entries.start();
  entries.sendList([instance]);
  const askedAt = entries.timers.monotonicNow();
  entries.readForRequests();
  entries.readForRequests();
  await entries.advance(lag);
  assert.equal(entries.platform.readCount, 0);
  await entries.advance(100);
  assert.equal(entries.platform.readCount, 1);
  const [, listed] = entries.listEvents;
  assert.equal(listed?.type, 'instancesListed');
  assert.ok((listed?.readAt ?? -Infinity) >= askedAt);
});

// Guards against a rush of calls to the platform, which then refuses the polls that all entries need.
test('many entries whose requests keep asking for a list read it a few times a second in all', async () => {
  const entries = new SimulatedEntries(50, 800);
  await entries.start();
  const seconds = 20;
  for (let second = 0; second < seconds; second += 1) {
    entries.sendList([instance]);
    entries.readForRequests();
    await entries.advance(500);
    entries.readForRequests();
    await entries.advance(500);
  }
  const { readCount } = entries.platform;
  assert.ok(readCount <= 50 + seconds * 10, String(readCount));
  const unread = entries.listEvents.filter(({ type }) => type === 'instancesUnread');
  assert.ok(unread.length > 0);
});

// Guards against requests that wait for a list until their deadline.
test('requests that wait for a list are told that it cannot be read', async () => {
  const entries = new SimulatedEntries(1);
  entries.platform.isDown = true;
  await entries.start();
  const askedAt = entries.timers.monotonicNow();
  entries.readForRequests();
  await entries.advance(100);
  const [unread] = entries.listEvents;
  assert.equal(unread?.type, 'instancesUnread');
  assert.ok((unread?.readAt ?? -Infinity) >= askedAt);
});

// Guards against the same list, older than the last one, that comes from another store.
test('a list is ignored that was read before the last one received', async () => {
  const entries = new SimulatedEntries(1);
  await entries.start();
  entries.sendList([instance], 0, 3000);
  entries.sendList([], 0, 2000);
  assert.equal(entries.listedCount, 1);
  entries.sendList([], 0, 3500);
  assert.equal(entries.listedCount, 2);
});
