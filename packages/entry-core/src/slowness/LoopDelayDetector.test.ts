import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LoopDelayDetector } from './LoopDelayDetector.js';

/** Ticks at these intervals until `duration` has passed; returns when the verdict changed. */
class Ticker {
  readonly detector = new LoopDelayDetector();

  readonly changes: { readonly at: number; readonly isSlow: boolean }[] = [];

  now = 0;

  constructor() {
    this.detector.recordTick(0);
  }

  run(interval: number, duration: number): void {
    for (const end = this.now + duration; this.now < end;) {
      this.now += interval;
      const hasChanged = this.detector.recordTick(this.now);
      if (hasChanged) this.changes.push({ at: this.now, isSlow: this.detector.isSlow });
    }
  }
}

test('a process whose ticks are late for two seconds is slow until they are not for two', () => {
  const ticker = new Ticker();
  ticker.run(50, 5000);
  ticker.run(250, 4000);
  ticker.run(50, 5000);
  assert.deepEqual(ticker.changes, [
    { at: 7000, isSlow: true },
    { at: 11_000, isSlow: false },
  ]);
});

// Guards against an entry that leaves the load balancer because it was busy for a moment, or because
// its quota of processor time was used up for the rest of a tenth of a second.
test('short delays do not make a process slow', () => {
  const ticker = new Ticker();
  for (let second = 0; second < 20; second += 1) {
    ticker.run(50, 800);
    ticker.run(200, 200);
  }
  ticker.run(90, 10_000);
  assert.deepEqual(ticker.changes, []);
});

// Guards against an entry that leaves the load balancer after it was suspended, when it is as fast
// as before.
test('a suspension does not make a process slow', () => {
  const ticker = new Ticker();
  ticker.run(50, 3000);
  ticker.run(6000, 6000);
  ticker.run(50, 3000);
  ticker.run(2000, 2000);
  ticker.run(50, 3000);
  assert.deepEqual(ticker.changes, []);
});

// Guards against an entry that goes in and out of the load balancer.
test('a process between slow and normal keeps its verdict', () => {
  const ticker = new Ticker();
  ticker.run(250, 4000);
  ticker.run(100, 10_000);
  assert.deepEqual(
    ticker.changes.map(({ isSlow }) => isSlow),
    [true],
  );
});
