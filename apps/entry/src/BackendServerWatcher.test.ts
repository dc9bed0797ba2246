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
    if (this.isDown) throw new Error('the platform does not answer');
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
    // It holds nothing.
  }
}

/** Entries that are told the list, all by each other's word. */
class SimulatedEntries {
  readonly timers = new ManualTimerService();

  readonly platform = new CountingPlatform();

  listedCount = 0;

  private readonly watchers: BackendServerWatcher[];

  constructor(count: number) {
    const { timers, platform } = this;
    this.watchers = Array.from({ length: count }, () => {
      const watcher: BackendServerWatcher = new BackendServerWatcher({
        platform,
        adapters: new AdapterDirectory(() => {
          throw new Error('no backend server is called');
        }),
        timers,
        logger: new Logger({ process: 'test', instance: 'entry-1' }, 'error'),
        pollMilliseconds: 1000,
        readConfiguration: () => emptyConfiguration,
        dispatch: ({ type }) => {
          if (type === 'instancesListed') this.listedCount += 1;
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

  sendList(instances: readonly PlatformInstance[], age = 0): void {
    this.watchers.forEach((watcher) => watcher.receiveInstances(instances, age));
  }

  /** Lets time pass in steps, each of which gives readings time to come back. */
  async advance(duration: number): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += 50) {
      this.timers.advance(50);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

// The lease holder reads the list each second and all entries are told. Fifty entries that each read it
// as well would spend more calls than the platform takes from the whole cluster.
test('entries that are told the list do not read it', async () => {
  const entries = new SimulatedEntries(50);
  await entries.start();
  entries.sendList([instance]);
  for (let second = 0; second < 10; second += 1) {
    await entries.advance(1000);
    entries.sendList([instance]);
  }
  assert.equal(entries.platform.readCount, 0);
});

// The lease holder is lost, or the data centre is cut off from it. Callers must not be sent to instances
// that have left meanwhile, so one of the entries reads the list, soon, and tells the others.
test('one of the entries reads the list when nobody tells it any more', async () => {
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

// All entries start together, and their platform does not answer. Each goes on asking once a second.
test('entries that start read the list for themselves until one has', async () => {
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

test('a list that a store has kept for long is read anew', async () => {
  const entries = new SimulatedEntries(1);
  await entries.start();
  entries.sendList([instance], 60_000);
  await entries.advance(200);
  assert.equal(entries.platform.readCount, 1);
});
