/** Lists that an entry reads for requests which take streams up: how soon, how often, and how old. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlatformAdapter, type InstanceStartResult } from '@hornbeampond/adapters';
import { Logger } from '@hornbeampond/runtime';
import { emptyConfiguration, type PlatformInstance } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { AdapterDirectory } from './AdapterDirectory.js';
import { BackendServerWatcher } from './BackendServerWatcher.js';

const STEP_MILLISECONDS = 5;

/** A platform that answers after a while, and takes a limited number of calls in each second. */
class LimitedPlatform extends PlatformAdapter {
  readonly callsBySecond = new Map<number, number>();

  inFlight = 0;

  mostInFlight = 0;

  refused = 0;

  constructor(
    private readonly timers: ManualTimerService,
    private readonly latency: number,
    private readonly callsPerSecond = Infinity,
    private readonly pages = 1,
  ) {
    super();
  }

  override async listInstances(): Promise<readonly PlatformInstance[]> {
    this.inFlight += 1;
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight);
    try {
      for (let page = 0; page < this.pages; page += 1) {
        const second = Math.floor(this.timers.monotonicNow() / 1000);
        const calls = (this.callsBySecond.get(second) ?? 0) + 1;
        this.callsBySecond.set(second, calls);
        await this.timers.wait(this.latency);
        if (calls > this.callsPerSecond) {
          this.refused += 1;
          throw new Error('429');
        }
      }
      return [];
    } finally {
      this.inFlight -= 1;
    }
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

interface Waiting {
  readonly askedAt: number;
  endedAt?: number;
  isRead?: boolean;
}

/** An entry whose requests wait for a list, as `admitAfterList` has them wait. */
class WaitingEntry {
  readonly requests: Waiting[] = [];

  shared = 0;

  readonly watcher: BackendServerWatcher;

  constructor(
    private readonly timers: ManualTimerService,
    platform: PlatformAdapter,
    listLagMilliseconds: number,
    entryCount = 8,
  ) {
    this.watcher = new BackendServerWatcher({
      platform,
      adapters: new AdapterDirectory(
        () => {
          throw new Error('no backend server is called');
        },
        () => {},
      ),
      timers,
      logger: new Logger({ process: 'test', instance: 'entry-1' }, 'error', () => {}),
      pollMilliseconds: 1000,
      listLagMilliseconds,
      readConfiguration: () => emptyConfiguration,
      dispatch: (event) => {
        if (event.type !== 'instancesListed' && event.type !== 'instancesUnread') return;
        this.end(event.readAt, event.type === 'instancesListed');
      },
      shareInstances: () => {
        this.shared += 1;
      },
      countEntries: () => entryCount,
    });
  }

  ask(): void {
    this.requests.push({ askedAt: this.timers.monotonicNow() });
    this.watcher.readForRequests();
  }

  private end(readAt: number | undefined, isRead: boolean): void {
    if (readAt === undefined) return;
    const waiting = this.requests.filter(({ endedAt }) => endedAt === undefined);
    waiting
      .filter(({ askedAt }) => askedAt <= readAt)
      .forEach((request) => {
        request.endedAt = this.timers.monotonicNow();
        request.isRead = isRead;
      });
  }
}

async function advance(timers: ManualTimerService, duration: number): Promise<void> {
  for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
    timers.advance(STEP_MILLISECONDS);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

// Guards against a caller who waits for two reads because another one came just before.
test('a request that comes while a read is due waits no longer than the lag of the list', async () => {
  const lag = 800;
  const timers = new ManualTimerService();
  const entry = new WaitingEntry(timers, new LimitedPlatform(timers, 20), lag);
  entry.ask();
  await advance(timers, 20);
  entry.ask();
  await advance(timers, 3000);
  const waits = entry.requests.map(({ askedAt, endedAt = Infinity }) => endedAt - askedAt);
  assert.ok(Math.max(...waits) <= lag + 100, waits.join(' '));
});

// Guards against a platform that is slow and gets a read for each request.
test('an entry has few reads for requests under way at a time', async () => {
  const timers = new ManualTimerService();
  const platform = new LimitedPlatform(timers, 300);
  const entry = new WaitingEntry(timers, platform, 0);
  for (let count = 0; count < 100; count += 1) {
    entry.ask();
    await advance(timers, 10);
  }
  assert.ok(platform.mostInFlight <= 2, String(platform.mostInFlight));
});

// Guards against entries that together exceed the calls which the platform takes.
test('the entries of a large deployment keep to the rate of the platform', async () => {
  const rate = 44;
  const entryCount = 200;
  const timers = new ManualTimerService();
  const platform = new LimitedPlatform(timers, 20, rate);
  const entries = Array.from(
    { length: entryCount },
    () => new WaitingEntry(timers, platform, 800, entryCount),
  );
  for (let step = 0; step < 40; step += 1) {
    entries.forEach((entry, position) => {
      if (position % 10 === step % 10) entry.ask();
    });
    await advance(timers, 100);
  }
  await advance(timers, 3000);
  const requests = entries.flatMap((entry) => entry.requests);
  const served = requests.filter(({ isRead }) => isRead === true).length;
  const most = Math.max(...platform.callsBySecond.values());
  assert.ok(
    most <= rate && served >= requests.length / 2,
    `${most} calls in a second, ${platform.refused} refused; ${served} of ${requests.length} served`,
  );
});

/** The clocks of a machine that may be suspended: the monotonic one does not count that time. */
class SuspendableTimers extends ManualTimerService {
  suspendedFor = 0;

  override wallNow(): number {
    return super.wallNow() + this.suspendedFor;
  }
}

// Guards against an old list that one entry hands to all others as a new one: the answer has waited in the
// socket of a machine that was suspended, whose timers have not moved on.
test('a list that was asked for before a suspension is not shared as new after it', async () => {
  const timers = new SuspendableTimers();
  let answer: () => void = () => {};
  const platform = new LimitedPlatform(timers, 0);
  platform.listInstances = async () =>
    new Promise((resolve) => {
      answer = () => resolve([]);
    });
  const entry = new WaitingEntry(timers, platform, 0);
  entry.ask();
  await advance(timers, 10);
  timers.suspendedFor = 60_000;
  answer();
  await advance(timers, 5);
  assert.equal(entry.shared, 0);
});
