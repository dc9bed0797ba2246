import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InputClock } from './InputClock.js';

/** An event loop of which the test says how long it works and is idle. */
class FakeLoop {
  now = 0;

  private idle = 0;

  readonly clock = new InputClock(
    () => this.now,
    () => this.idle,
  );

  work(duration: number): this {
    this.now += duration;
    return this;
  }

  rest(duration: number): this {
    this.idle += duration;
    return this.work(duration);
  }

  tick(): this {
    this.clock.recordTick();
    return this;
  }
}

test('a process that keeps up reads its input at once', () => {
  const loop = new FakeLoop().rest(45).work(5).tick().rest(30).work(2);
  assert.equal(loop.clock.estimateDelay(), 2);
});

// Guards against requests whose deadline begins when a process that was busy gets to read them.
test('input that is read after a long turn of the event loop may have waited all of it', () => {
  const loop = new FakeLoop().rest(50).tick().work(400).tick().work(10);
  assert.equal(loop.clock.estimateDelay(), 410);
});

test('input that is read after the process was idle has not waited longer than since the tick', () => {
  const loop = new FakeLoop().rest(50).tick().work(400).tick().rest(20).work(5);
  assert.equal(loop.clock.estimateDelay(), 5);
});
