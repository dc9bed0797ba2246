import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { SystemTimerService } from '@hornbeampond/runtime';
import { InputTurns, type TurnTaker } from './InputTurns.js';

const PIECE_MILLISECONDS = 4;

/** Time passes only while a piece is parsed. */
class TestTimers extends SystemTimerService {
  now = 0;

  override monotonicNow(): number {
    return this.now;
  }
}

class Taker implements TurnTaker {
  constructor(
    private readonly name: string,
    private pieces: number,
    private readonly turns: InputTurns,
    private readonly timers: TestTimers,
    private readonly parsed: string[],
  ) {
    turns.await(this);
  }

  takeTurn(): void {
    this.turns.measure(() => {
      this.timers.now += PIECE_MILLISECONDS;
    });
    this.parsed.push(this.name);
    this.pieces -= 1;
    if (this.pieces > 0) this.turns.await(this);
  }
}

function start(piecesOf: Readonly<Record<string, number>>) {
  const timers = new TestTimers();
  const turns = new InputTurns(timers);
  const parsed: string[] = [];
  const takers = Object.entries(piecesOf).map(
    ([name, pieces]) => new Taker(name, pieces, turns, timers, parsed),
  );
  return { turns, parsed, takers };
}

// Guards against a connection with much input that keeps others waiting until all of it is parsed.
test('connections that wait have one piece parsed after the other, a few in each turn', async () => {
  const { parsed } = start({ large: 5, small: 1, other: 2 });
  await nextTurn();
  assert.deepEqual(parsed, ['large', 'small', 'other']);
  await nextTurn();
  assert.deepEqual(parsed.slice(3), ['large', 'other', 'large']);
});

// Guards against work for a connection that has been closed.
test('one that leaves gets no turn', async () => {
  const { turns, parsed, takers } = start({ gone: 3, other: 1 });
  const [gone] = takers;
  assert.ok(gone !== undefined);
  turns.leave(gone);
  await nextTurn();
  assert.deepEqual(parsed, ['other']);
});

// Guards against input that passes by others that have waited longer, and against a turn without an end.
test('there is no time while others wait or once the time is spent', async () => {
  const { turns } = start({ one: 1 });
  assert.equal(turns.hasTime, false);
  await nextTurn();
  assert.equal(turns.hasTime, true);
  const timers = new TestTimers();
  const spent = new InputTurns(timers);
  spent.measure(() => {
    timers.now += 10;
  });
  assert.equal(spent.hasTime, false);
  await nextTurn();
  assert.equal(spent.hasTime, true);
});
