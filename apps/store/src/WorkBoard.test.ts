import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StorePush, WorkReport } from '@hornbeampond/schema';
import { ManualTimerService } from '@hornbeampond/testing';
import { Subscribers } from './Subscribers.js';
import { WorkBoard } from './WorkBoard.js';

class KeptPushes extends Subscribers {
  readonly pushes: StorePush[] = [];

  override pushToEntries(push: StorePush): void {
    this.pushes.push(push);
  }
}

function report(instance: string): WorkReport {
  return { type: 'workReport', instance, incarnation: 1, work: {}, computed: {} };
}

test('what entries tell within a moment goes out together', () => {
  const timers = new ManualTimerService();
  const subscribers = new KeptPushes();
  const board = new WorkBoard(timers, subscribers);
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
