import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Logger } from '@hornbeampond/runtime';
import type {
  EntryReport,
  Milliseconds,
  PersistedEntryData,
  SharedInstance,
} from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { PersistedEntryState } from './PersistedEntryState.js';
import { MemoryDisk } from './testing/MemoryDisk.js';

/** A report of an entry that had spent 1000 before the window. */
function report(spentInWindow: number, windowReach: Milliseconds): EntryReport {
  return {
    type: 'entryReport',
    instance: 'entry-1',
    dataCentre: 'a',
    incarnation: 1,
    sequence: 1,
    leaving: false,
    revision: 1,
    inProgress: {},
    leavingBackendServers: {},
    suspects: [],
    spent: { workspace1: spentInWindow + 1000 },
    windowSpent: { workspace1: [spentInWindow] },
    windowReach,
  };
}

/** Lets pending promises settle. */
async function flushPromises(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function makeState(disk: MemoryDisk, lines: string[] = []) {
  const timers = new ManualTimerService();
  const write = (line: string) => {
    lines.push(line);
  };
  const logger = new Logger({ process: 'test', instance: 'store-1' }, 'info', write);
  return { timers, state: new PersistedEntryState({ disk, timers, logger }) };
}

// All processes lose power shortly after an entry has reported spending. Guards against entries that
// start with an unspent allowance.
test('spending that entries reported is restored after a power loss', async () => {
  const disk = new MemoryDisk();
  const before = makeState(disk);
  await before.state.open();
  before.state.recordReport(report(500, 8000));
  before.timers.advance(250);
  await flushPromises();
  const after = makeState(disk);
  await after.state.open();
  assert.deepEqual(after.state.contents.spending?.windowSpent, { workspace1: [500] });
  assert.deepEqual(after.state.contents.spending?.entries, {
    'entry-1': { incarnation: 1, spent: { workspace1: 1500 } },
  });
});

test('spending totals with a shorter reach replace stored totals only once those are 2 seconds old', async () => {
  const { timers, state } = makeState(new MemoryDisk());
  await state.open();
  state.recordReport(report(500, 8000));
  state.recordReport(report(20, 100));
  assert.deepEqual(state.contents.spending?.windowSpent, { workspace1: [500] });
  timers.advance(2000);
  state.recordReport(report(30, 2100));
  assert.deepEqual(state.contents.spending?.windowSpent, { workspace1: [30] });
});

// Guards against entries that add what is missing on a disk after a loss of power to spending that a
// running store has received completely.
test('a store tells starting entries for how long it has received reports', async () => {
  const disk = new MemoryDisk();
  const before = makeState(disk);
  await before.state.open();
  before.state.recordReport(report(500, 8000));
  before.timers.advance(250);
  await flushPromises();
  assert.equal(before.state.contentsForEntries.spending?.heardFor, 250);
  const after = makeState(disk);
  await after.state.open();
  assert.equal(after.state.contentsForEntries.spending?.heardFor, undefined);
});

// Guards against counting twice, or not at all, what an entry spent while it received no reports.
test('spending that is reported without a window is kept for the next window', async () => {
  const { state } = makeState(new MemoryDisk());
  await state.open();
  state.recordReport(report(500, 8000));
  const { windowSpent, windowReach, ...withoutWindow } = report(700, 8000);
  state.recordReport(withoutWindow);
  assert.equal(state.contents.spending?.entries['entry-1']?.spent.workspace1, 1500);
  state.recordReport({ ...report(0, 9000), instance: 'entry-2' });
  assert.equal(state.contents.spending?.entries['entry-1']?.spent.workspace1, 1700);
});

class FailingDisk extends MemoryDisk {
  override async savePersistedEntryState(): Promise<void> {
    throw new Error('ENOSPC');
  }

  override async readPersistedEntryState(): Promise<PersistedEntryData | undefined> {
    throw new Error('the checksum does not match');
  }
}

// The disk is full and the saved state is damaged. Guards against a store that stops, or logs nothing,
// because of state that is only best effort.
test('a store whose disk fails logs it and keeps the entry state in memory', async () => {
  const lines: string[] = [];
  const { timers, state } = makeState(new FailingDisk(), lines);
  await state.open();
  state.recordReport(report(500, 8000));
  timers.advance(250);
  await flushPromises();
  const events = lines.map((line) => (JSON.parse(line) as { event: string }).event);
  assert.deepEqual(events, ['memoryUnreadable', 'memoryNotKept']);
  assert.deepEqual(state.contents.spending?.windowSpent, { workspace1: [500] });
});

// Guards against sending entries counts that only the process that reports usage needs.
test('starting entries get spending and prefixes, and no usage', async () => {
  const { state } = makeState(new MemoryDisk());
  await state.open();
  state.recordReport({ ...report(500, 8000), begun: { 7: { workspace1: 3 } } });
  const computed = { engine: ['a'] };
  state.recordWork({ type: 'workReport', instance: 'entry-1', incarnation: 1, work: {}, computed });
  const { usage, spending, computed: prefixes } = state.contentsForEntries;
  assert.equal(state.contents.usage.length, 1);
  assert.deepEqual([usage, prefixes], [[], computed]);
  assert.equal(spending?.windowReach, 8000);
});

function listServer(version: string): SharedInstance {
  const place = { dataCentre: 'a', instanceClass: 'gpu', host: '127.0.0.1', port: 1 };
  return { instance: `engine-${version}`, pool: 'engines', version, state: 'live', ...place };
}

// All processes lose power while one version replaces another. Guards against entries that start with
// the first list that they receive, and take its version for the one that began all streams.
test('versions that servers have had are restored after a power loss', async () => {
  const disk = new MemoryDisk();
  const before = makeState(disk);
  await before.state.open();
  assert.equal(before.state.contentsForEntries.versions, undefined);
  before.state.recordInstanceList([listServer('v1')]);
  before.timers.advance(1000);
  await flushPromises();
  before.state.recordInstanceList([listServer('v1')]);
  before.timers.advance(250);
  await flushPromises();
  const after = makeState(disk);
  after.timers.advance(4000);
  await after.state.open();
  const { history } = after.state.contentsForEntries.versions ?? {};
  assert.deepEqual(history, {
    knownFor: 4000,
    lastListAge: 3000,
    pools: { engines: [{ version: 'v1', age: 0, isListed: true }] },
  });
});

// Guards against ages that are too short because the clock of the machine was set back.
test('versions are not restored if the clock was set back', async () => {
  const disk = new MemoryDisk();
  const before = makeState(disk);
  await before.state.open();
  before.timers.advance(4000);
  before.state.recordInstanceList([listServer('v1')]);
  before.timers.advance(250);
  await flushPromises();
  const after = makeState(disk);
  await after.state.open();
  assert.equal(after.state.contentsForEntries.versions, undefined);
});
