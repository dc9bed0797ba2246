import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldMemory, type MemoryHolder } from './HeldMemory.js';

const LIMIT = 1000;

class Holder implements MemoryHolder {
  readonly held = { heap: 0, buffers: 0 };

  isEvicted = false;

  constructor(private readonly memory: HeldMemory) {
    memory.add(this);
  }

  take(bytes: number): boolean {
    return this.memory.change(this, 'heap', bytes);
  }

  evict(): void {
    this.isEvicted = true;
  }
}

function makeMemory(): HeldMemory {
  return new HeldMemory({ heap: LIMIT, buffers: LIMIT });
}

// Guards against ordinary callers who are refused because others hold all that there is.
test('those that hold most make room for one that holds little', () => {
  const memory = makeMemory();
  const large = [400, 300, 300].map((bytes) => {
    const holder = new Holder(memory);
    holder.take(bytes);
    return holder;
  });
  const small = new Holder(memory);
  assert.equal(small.take(50), true);
  assert.deepEqual(
    large.map(({ isEvicted }) => isEvicted),
    [true, false, false],
  );
  assert.equal(memory.total.heap, 650);
});

// Guards against requests under way that are ended for the sake of others like them.
test('one that asks for as much as the others is refused', () => {
  const memory = makeMemory();
  const holders = Array.from({ length: 10 }, () => new Holder(memory));
  assert.ok(holders.every((holder) => holder.take(100)));
  const next = new Holder(memory);
  assert.equal(next.take(100), false);
  assert.ok(holders.every(({ isEvicted }) => !isEvicted));
  assert.equal(memory.total.heap, LIMIT);
  assert.equal(next.held.heap, 0);
});

// Guards against bytes that stay counted, or are counted twice, once a connection is gone.
test('what a connection that has gone still releases is not counted', () => {
  const memory = makeMemory();
  const holder = new Holder(memory);
  holder.take(100);
  memory.remove(holder);
  memory.remove(holder);
  assert.equal(holder.take(-100), false);
  assert.equal(holder.take(100), false);
  assert.equal(memory.total.heap, 0);
});

test('the kinds have limits of their own', () => {
  const memory = makeMemory();
  const holder = new Holder(memory);
  assert.equal(memory.change(holder, 'buffers', LIMIT), true);
  assert.equal(holder.take(LIMIT), true);
  assert.equal(memory.change(holder, 'buffers', 1), false);
});
