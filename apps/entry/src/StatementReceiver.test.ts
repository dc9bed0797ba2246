import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeEntryState, type EntryEventPayload } from '@hornbeampond/entry-core';
import { Logger } from '@hornbeampond/runtime';
import { ManualTimerService } from '@hornbeampond/testing';
import { StatementReceiver } from './StatementReceiver.js';

function makeReceiver() {
  const dispatched: EntryEventPayload[] = [];
  const lines: string[] = [];
  let unreadable = 0;
  const timers = new ManualTimerService();
  const state = makeEntryState({
    instance: 'entry-1',
    dataCentre: 'a',
    incarnation: 1,
    maxQueuedRequests: 10,
  });
  const receiver = new StatementReceiver({
    timers,
    logger: new Logger({ process: 'hornbeampond-entry', instance: 'entry-1' }, 'warn', (line) =>
      lines.push(line),
    ),
    readState: () => state,
    dispatch: (payload) => dispatched.push(payload),
    countUnreadable: () => {
      unreadable += 1;
    },
  });
  return { receiver, timers, dispatched, lines, countUnreadable: () => unreadable };
}

// Guards against a statement whose age nobody knows, or whose time factor is lost on the way.
test('a load statement is dispatched whole with its time of receipt', () => {
  const { receiver, timers, dispatched } = makeReceiver();
  const load = { running: 3, queued: 1, slots: 8, timeFactor: 2.5 };
  receiver.receive('engine-1', { load });
  const report = { instance: 'engine-1', measuredAt: timers.wallNow(), ...load };
  assert.deepEqual(dispatched, [{ type: 'loadReported', report }]);
});

// Guards against a log that a single broken server fills with one line for each answer.
test('unreadable statements of a server are logged once and all are counted', () => {
  const { receiver, lines, countUnreadable } = makeReceiver();
  ['3,1,8,0', '3,1,8,-1', '3,1,8,0'].forEach((value) =>
    receiver.receive('engine-1', { unreadable: `load: ${value}` }),
  );
  receiver.receive('engine-2', { unreadable: 'load: x' });
  assert.equal(lines.length, 2);
  assert.equal(countUnreadable(), 4);
});
