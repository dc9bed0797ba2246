import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StorePush, WorkReport } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { Subscribers } from './Subscribers.js';
import { WorkReportBatcher } from './WorkReportBatcher.js';

class RecordingSubscribers extends Subscribers {
  readonly pushesToEntries: StorePush[] = [];

  readonly pushesToNonEntries: StorePush[] = [];

  override pushToEntries(push: StorePush): void {
    this.pushesToEntries.push(push);
  }

  override pushToNonEntries(push: StorePush): void {
    this.pushesToNonEntries.push(push);
  }
}

function report(instance: string): WorkReport {
  return { type: 'workReport', instance, incarnation: 1, work: {}, computed: {} };
}

test('work reports received within a short time are sent in one push', () => {
  const timers = new ManualTimerService();
  const subscribers = new RecordingSubscribers();
  const batcher = new WorkReportBatcher(timers, subscribers);
  batcher.add(report('entry-1'));
  batcher.add(report('entry-2'));
  timers.advance(20);
  batcher.add(report('entry-1'));
  timers.advance(20);
  assert.deepEqual(
    subscribers.pushesToEntries.map((push) =>
      push.type === 'work' ? push.reports.map(({ instance }) => instance) : [],
    ),
    [['entry-1', 'entry-2'], ['entry-1']],
  );
});

// Guards against sending usage counts to entries, which do not use them.
test('usage counts are sent only to subscribers that are not entries', () => {
  const timers = new ManualTimerService();
  const subscribers = new RecordingSubscribers();
  const batcher = new WorkReportBatcher(timers, subscribers);
  const begun = { 7: { workspace1: 20 } };
  batcher.add({ ...report('entry-1'), begun });
  timers.advance(20);
  assert.deepEqual(subscribers.pushesToEntries, [{ type: 'work', reports: [report('entry-1')] }]);
  const usage = [{ instance: 'entry-1', incarnation: 1, begun }];
  assert.deepEqual(subscribers.pushesToNonEntries, [{ type: 'usage', usage }]);
});
