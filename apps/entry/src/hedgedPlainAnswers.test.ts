/** Failure answers of plain services of the project's own API while two attempts of a call run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { PlainServiceAdapter, type PlainServiceAnswer } from '@hornbeampond/adapters';
import type { EntryEventPayload } from '@hornbeampond/entry-core';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { ManualTimerService } from '@hornbeampond/testing';
import { AdapterDirectory } from './AdapterDirectory.js';
import { AttemptRunner } from './AttemptRunner.js';
import { PlainAnswer } from './PlainAnswer.js';
import { StopOrders } from './StopOrders.js';

async function* makeBody(text: string): AsyncGenerator<Uint8Array> {
  yield Buffer.from(text);
}

/** A plain service that answers when the test says so. */
class ManualPlainService extends PlainServiceAdapter {
  respond: (answer: PlainServiceAnswer) => void = () => {};

  override async send(): Promise<PlainServiceAnswer> {
    return new Promise((resolve) => {
      this.respond = resolve;
    });
  }

  async answer(status: number): Promise<void> {
    this.respond({ status, headers: {}, body: makeBody(`status ${status}`) });
    for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  }

  override async readLoad(): Promise<never> {
    throw new TypeError('this test reads no load');
  }

  override async probe(): Promise<Record<string, never>> {
    return {};
  }

  override renewConnections(): void {}

  override async close(): Promise<void> {
    this.respond = () => {};
  }
}

/** Runs two attempts of a call. */
function startRace() {
  const services = [new ManualPlainService(), new ManualPlainService()] as const;
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  const answer = new PlainAnswer('one', response, { isBuffered: false, maxBytes: 100 });
  const events: EntryEventPayload[] = [];
  const request = { requestId: 'one', workspace: 'laden', method: 'GET', path: '/' };
  const runner = new AttemptRunner({
    stopOrders: new StopOrders(),
    findMovedCache: () => undefined,
    mayHaveEnded: () => false,
    timers: new ManualTimerService(),
    adapters: new AdapterDirectory(
      ({ instance }) => ({
        kind: 'plainService',
        adapter: services[instance === 'server-1' ? 0 : 1],
      }),
      () => {},
    ),
    findExchange: () => ({ request, headers: {}, body: Buffer.alloc(0), answer }) as never,
    dispatch: (event) => events.push(event),
    onCallerLeft: () => {},
  });
  [1, 2].forEach((number) =>
    runner.start({
      type: 'startAttempt',
      requestId: 'one',
      attemptId: `one.${number}`,
      target: {
        instance: `server-${number}`,
        kind: 'plainService',
        host: '192.0.2.1',
        port: number,
      },
      workspace: 'laden',
      timeLeft: 1000,
      resumeFromTokens: 0,
      priority: 0,
      sendOnce: false,
      firstByteTimeout: 500,
      streamIdleTimeout: 500,
      isHeld: true,
    }),
  );
  const outcomes = () =>
    events
      .filter(({ type }) => type === 'attemptFinished' || type === 'attemptFailed')
      .map((event) => `${event.type} ${'attemptId' in event ? event.attemptId : ''}`);
  return { services, outcomes };
}

// Guards against a failure answer that is given to the caller although another server may do better.
test('a failure answer does not win while the other attempt runs', async () => {
  const { services, outcomes } = startRace();
  await nextTurn();
  await services[0].answer(500);
  assert.deepEqual(outcomes(), ['attemptFailed one.1']);
  await services[1].answer(200);
  assert.deepEqual(outcomes(), ['attemptFailed one.1', 'attemptFinished one.2']);
});

test('the failure answer of the last attempt is the answer, as without a hedge', async () => {
  const { services, outcomes } = startRace();
  await nextTurn();
  await services[0].answer(500);
  await services[1].answer(500);
  assert.deepEqual(outcomes(), ['attemptFailed one.1', 'attemptFinished one.2']);
});
