/** A process that is behind with its input, and one that keeps up. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallerExchange } from './CallerServer.js';
import { RequestIntake } from './RequestIntake.js';

/** What each request costs the process, in milliseconds. */
const COST = 20;

/** An intake whose process needs `COST` for each request and is `delay` behind with its input. */
class Process {
  now = 1000;

  delay = 0;

  readonly passedOn: { readonly requestId: string; readonly arrivedAt: number }[] = [];

  readonly left: string[] = [];

  private pendingCallbacks: (() => void)[] = [];

  readonly intake = new RequestIntake({
    clock: { estimateDelay: () => this.delay },
    readNow: () => this.now,
    afterPendingInput: (callback) => this.pendingCallbacks.push(callback),
    onRequest: ({ request: { requestId } }, arrivedAt) => {
      this.now += COST;
      this.passedOn.push({ requestId, arrivedAt });
    },
    onCallerLeft: (requestId) => this.left.push(requestId),
  });

  receive(requestId: string, answer = { hasCallerLeft: false }): void {
    this.intake.add({ request: { requestId }, answer } as unknown as CallerExchange);
  }

  /** One turn of the event loop, in which pending input has been read. */
  turn(): void {
    this.pendingCallbacks.splice(0).forEach((callback) => callback());
  }

  get requestIds(): string[] {
    return this.passedOn.map(({ requestId }) => requestId);
  }
}

test('a process that keeps up passes requests on at once', () => {
  const process = new Process();
  process.delay = 3;
  process.receive('one');
  assert.deepEqual(process.passedOn, [{ requestId: 'one', arrivedAt: 997 }]);
});

// Guards against requests that a stalled process sends on although the ends of their connections
// wait in its sockets.
test('after a stall, requests of callers that have left meanwhile are sent nowhere', () => {
  const process = new Process();
  process.delay = 1500;
  const answers = [1, 2, 3, 4].map(() => ({ hasCallerLeft: false }));
  answers.forEach((answer, index) => process.receive(`request-${index + 1}`, answer));
  assert.deepEqual(process.requestIds, []);
  assert.equal(process.intake.remove('request-1'), true);
  answers.slice(1, 3).forEach((answer) => {
    answer.hasCallerLeft = true;
  });
  process.turn();
  assert.deepEqual(process.passedOn, [{ requestId: 'request-4', arrivedAt: -500 }]);
  assert.deepEqual(process.left, ['request-2', 'request-3']);
});

// Guards against callers that wait for seconds in the queue of the listening socket, because only one
// connection is accepted in each turn and each turn handles a request.
test('requests are held while connections come in one a turn, but not for long', () => {
  const process = new Process();
  for (let number = 1; number <= 3; number += 1) {
    process.intake.recordConnection();
    process.receive(String(number));
    process.turn();
    process.now += 1;
  }
  assert.deepEqual(process.requestIds, []);
  process.turn();
  assert.deepEqual(process.requestIds, ['1', '2', '3']);
  for (let number = 4; process.requestIds.length === 3; number += 1) {
    process.intake.recordConnection();
    process.receive(String(number));
    process.turn();
    process.now += 10;
  }
  assert.ok(process.requestIds.length >= 4);
});

// Guards against one long turn in which the ends of connections are not noticed.
test('input is read again while many requests are passed on, and order is kept', () => {
  const process = new Process();
  process.delay = 300;
  for (let number = 1; number <= 6; number += 1) process.receive(String(number));
  process.turn();
  assert.deepEqual(process.requestIds, ['1', '2', '3']);
  process.delay = 0;
  process.receive('7');
  process.turn();
  process.turn();
  assert.deepEqual(process.requestIds, ['1', '2', '3', '4', '5', '6', '7']);
});
