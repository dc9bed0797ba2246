import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from '@hornbeampond/testing';
import { RestartableTimeout } from './RestartableTimeout.js';

function makeTimeout() {
  const timers = new ManualTimerService();
  const firedAt: number[] = [];
  const timeout = new RestartableTimeout(timers, () => firedAt.push(timers.monotonicNow()));
  return { timers, timeout, firedAt, begin: timers.monotonicNow() };
}

test('a timeout that is restarted again and again ends after the last restart', () => {
  const { timers, timeout, firedAt, begin } = makeTimeout();
  timeout.start(100);
  for (let count = 0; count < 5; count += 1) {
    timers.advance(60);
    timeout.start(100);
  }
  timers.advance(99);
  assert.deepEqual(firedAt, []);
  timers.advance(301);
  assert.deepEqual(firedAt, [begin + 400]);
});

test('a restart with a shorter timeout ends earlier', () => {
  const { timers, timeout, firedAt, begin } = makeTimeout();
  timeout.start(10_000);
  timers.advance(50);
  timeout.start(200);
  timers.advance(1000);
  assert.deepEqual(firedAt, [begin + 250]);
});

test('a stopped timeout does not end until it is started again', () => {
  const { timers, timeout, firedAt, begin } = makeTimeout();
  timeout.start(100);
  timeout.stop();
  timers.advance(500);
  assert.deepEqual(firedAt, []);
  timeout.start(100);
  timers.advance(500);
  assert.deepEqual(firedAt, [begin + 600]);
  timeout.close();
});
