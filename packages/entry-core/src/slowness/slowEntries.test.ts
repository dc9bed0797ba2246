/** Entries whose instances run several times slower than usual, one or many of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntryReport } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEventPayload } from '../entryEvents.js';
import { makeEntryState } from '../EntryState.js';
import { reduceEntry } from '../reduceEntry.js';
import { examplePool, exampleRequest, exampleRoute } from '../testing/examples.js';

const wallNow = Date.UTC(2026, 0, 15, 11);
const NORMAL_TICK = 50;
const SLOW_TICK = 300;

/** The reducer of one entry among `peerCount` others in its data centre. */
class Entry {
  readonly state = makeEntryState({
    instance: 'entry-0',
    dataCentre: 'dc-a',
    incarnation: wallNow,
    maxQueuedRequests: 100,
  });

  readonly effects: EntryEffect[] = [];

  private now = 0;

  constructor(
    private readonly peerCount: number,
    private readonly slowPeerCount = 0,
  ) {}

  send(event: EntryEventPayload): EntryEffect[] {
    const timestamps = { now: this.now, wallNow: wallNow + this.now };
    const effects = reduceEntry(this.state, { ...event, ...timestamps });
    this.effects.push(...effects);
    return effects;
  }

  run(tickInterval: number, duration: number): void {
    for (const end = this.now + duration; this.now < end;) {
      this.now += tickInterval;
      this.receivePeerReports();
      this.send({ type: 'tick' });
    }
  }

  get withdrawals(): boolean[] {
    return this.effects.flatMap((effect) =>
      effect.type === 'withdrawalChanged' ? [effect.isWithdrawn] : [],
    );
  }

  private receivePeerReports(): void {
    for (let peer = 0; peer < this.peerCount; peer += 1) {
      const report: EntryReport = {
        type: 'entryReport',
        instance: `entry-${peer + 1}`,
        dataCentre: 'dc-a',
        incarnation: wallNow,
        sequence: this.now,
        leaving: false,
        ...(peer < this.slowPeerCount ? { slow: true } : {}),
        revision: 1,
        inProgress: {},
        leavingBackendServers: {},
        suspects: [],
      };
      this.send({ type: 'entryReported', report });
    }
  }
}

// Guards against callers that wait at a slow entry while others in the same data centre answer
// promptly.
test('a slow entry of eight withdraws, says so, and comes back when it has recovered', () => {
  const entry = new Entry(7);
  entry.run(SLOW_TICK, 5000);
  assert.deepEqual(entry.withdrawals, [true]);
  const reports = entry.effects.flatMap((effect) =>
    effect.type === 'reportToEntries' ? [effect.report] : [],
  );
  assert.equal(reports.at(-1)?.slow, true);
  entry.run(NORMAL_TICK, 5000);
  assert.deepEqual(entry.withdrawals, [true, false]);
});

test('a slow entry among 200, a tenth of which is slow, withdraws', () => {
  const entry = new Entry(199, 19);
  entry.run(SLOW_TICK, 5000);
  assert.deepEqual(entry.withdrawals, [true]);
});

// Guards against a data centre that loses its entries one after the other under a load that makes
// all of them slow.
test('no entry withdraws while more than a quarter are slow, or while it is alone', () => {
  const many = new Entry(7, 2);
  many.run(SLOW_TICK, 5000);
  const alone = new Entry(0);
  alone.run(SLOW_TICK, 5000);
  const last = new Entry(1, 1);
  last.run(SLOW_TICK, 5000);
  assert.deepEqual([...many.withdrawals, ...alone.withdrawals, ...last.withdrawals], []);
});

test('a slow entry comes back when too many others have become slow', () => {
  const entry = new Entry(7);
  entry.run(SLOW_TICK, 5000);
  Object.assign(entry, { slowPeerCount: 3 });
  entry.run(SLOW_TICK, 1000);
  assert.deepEqual(entry.withdrawals, [true, false]);
});

/** Runs requests that time out at servers that answer probes; returns how many were ejected. */
function countEjectionsAfterTimeouts(tickInterval: number): number {
  const entry = new Entry(7);
  const servers = ['engine-1', 'engine-2', 'engine-3'].map((instance) => ({
    instance,
    dataCentre: 'dc-a',
    instanceClass: 'large',
    pool: 'engines',
    state: 'live' as const,
    host: '192.0.2.1',
    port: 8000,
  }));
  entry.send({ type: 'instancesListed', instances: servers });
  entry.send({
    type: 'configurationReceived',
    configuration: {
      revision: 1,
      routes: { revision: 1, rows: [exampleRoute({ mostAttempts: 1 })] },
      pools: { revision: 1, rows: [examplePool(32)] },
    },
  });
  entry.run(tickInterval, 5000);
  for (let number = 0; number < 12; number += 1) {
    const started = entry
      .send({ type: 'requestArrived', request: exampleRequest(`request-${number}`) })
      .find((effect) => effect.type === 'startAttempt');
    if (started?.type !== 'startAttempt') continue;
    entry.send({
      type: 'attemptFailed',
      attemptId: started.attemptId,
      failure: 'silent',
      sent: 'maybe',
      tokens: 0,
      answerStarted: false,
    });
    const { instance } = started.target;
    entry.send({ type: 'probeAnswered', instance, answered: true });
  }
  return entry.effects.filter(
    (effect) => effect.type === 'log' && effect.event === 'backendServerEjected',
  ).length;
}

// Guards against a slow entry that takes sound backend servers out of use because it reads their
// answers late.
test('timeouts at a slow entry do not eject backend servers', () => {
  assert.ok(countEjectionsAfterTimeouts(NORMAL_TICK) > 0);
  assert.equal(countEjectionsAfterTimeouts(SLOW_TICK), 0);
});
