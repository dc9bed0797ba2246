import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StorePush, WorkReport } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { Subscribers } from './Subscribers.js';
import { WorkReportBatcher } from './WorkReportBatcher.js';

class KeptPushes extends Subscribers {
  readonly pushes: StorePush[] = [];

  readonly others: StorePush[] = [];

  override pushToEntries(push: StorePush): void {
    this.pushes.push(push);
  }

  override pushToNonEntries(push: StorePush): void {
    this.others.push(push);
  }
}

function report(instance: string): WorkReport {
  return { type: 'workReport', instance, incarnation: 1, work: {}, computed: {} };
}

test('what entries tell within a moment goes out together', () => {
  const timers = new ManualTimerService();
  const subscribers = new KeptPushes();
  const board = new WorkReportBatcher(timers, subscribers);
  board.add(report('entry-1'));
  board.add(report('entry-2'));
  timers.advance(20);
  board.add(report('entry-1'));
  timers.advance(20);
  assert.deepEqual(
    subscribers.pushes.map((push) =>
      push.type === 'work' ? push.reports.map(({ instance }) => instance) : [],
    ),
    [['entry-1', 'entry-2'], ['entry-1']],
  );
});

// Counts of what began to run go to those that report usage; fifty entries have no use for each other's.
test('usage is handed to others than entries', () => {
  const timers = new ManualTimerService();
  const subscribers = new KeptPushes();
  const board = new WorkReportBatcher(timers, subscribers);
  const begun = { 7: { laden: 20 } };
  board.add({ ...report('entry-1'), begun });
  timers.advance(20);
  assert.deepEqual(subscribers.pushes, [{ type: 'work', reports: [report('entry-1')] }]);
  const usage = [{ instance: 'entry-1', incarnation: 1, begun }];
  assert.deepEqual(subscribers.others, [{ type: 'usage', usage }]);
});
