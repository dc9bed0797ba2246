/** Callers whose answers cannot be written. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, get, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { EntryEffect, EntryEventPayload } from '@hornbeampond/entry-core';
import type { CallerExchange } from './CallerServer.js';
import { OpenExchanges } from './OpenExchanges.js';
import { PlainAnswer } from './PlainAnswer.js';

const REQUEST_ID = 'request-1';

/** A call that waits for its answer, and how the caller sees its end. */
async function openCall(context: TestContext) {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const request = get({ host: '127.0.0.1', port, agent: false });
  const ended = new Promise<number | string>((resolve) => {
    request.on('error', () => resolve('closed'));
    request.on('response', (message: IncomingMessage) => {
      message.resume();
      message.on('end', () => resolve(message.statusCode ?? 0));
      message.on('error', () => resolve(`${message.statusCode} cut`));
    });
  });
  const [, response] = (await once(server, 'request')) as [IncomingMessage, ServerResponse];
  const answer = new PlainAnswer(REQUEST_ID, response, { isBuffered: false, maxBytes: 1000 });
  const dispatched: EntryEventPayload[] = [];
  const exchanges = new OpenExchanges({
    onCountChange: () => {},
    dispatch: (payload) => dispatched.push(payload),
  });
  exchanges.add({ request: { requestId: REQUEST_ID }, answer } as unknown as CallerExchange);
  return { request, answer, exchanges, ended, dispatched };
}

// Guards against a caller that waits for ever: the request is forgotten when its answer cannot be written.
test('a caller whose answer cannot be written gets another one', async (context) => {
  const { answer, exchanges, ended } = await openCall(context);
  answer.receiveHead({ status: 42, headers: {} });
  assert.throws(() => exchanges.end(REQUEST_ID, () => answer.finish()), RangeError);
  assert.equal(await ended, 502);
  assert.equal(exchanges.has(REQUEST_ID), false);
});

// Guards against an answer that looks complete although its end could not be written.
test('an answer whose end cannot be written is cut', async (context) => {
  const { request, answer, exchanges, ended } = await openCall(context);
  answer.receiveHead({ status: 200, headers: {} });
  await answer.writeBytes(Buffer.from('half'));
  await once(request, 'response');
  const fail = () => {
    throw new Error('the end cannot be written');
  };
  assert.throws(() => exchanges.end(REQUEST_ID, fail));
  assert.equal(await ended, '200 cut');
});

// Guards against effects that fail before they reach the answer, and against attempts that nobody ends.
test('what a failed effect or event leaves open is ended', async (context) => {
  const finished = await openCall(context);
  finished.exchanges.endAfterFailedEffect({ type: 'finishAnswer', requestId: REQUEST_ID });
  assert.equal(await finished.ended, 502);
  const started = await openCall(context);
  const effect = { type: 'startAttempt', attemptId: 'request-1.1' } as EntryEffect;
  started.exchanges.endAfterFailedEffect(effect);
  assert.deepEqual(started.dispatched, [
    {
      type: 'attemptFailed',
      attemptId: 'request-1.1',
      failure: 'malformed',
      sent: 'maybe',
      tokens: 0,
      answerStarted: false,
    },
  ]);
  const event = { type: 'requestArrived', request: { requestId: REQUEST_ID } };
  started.exchanges.endAfterFailedEvent(event as never, new Error('not handled'));
  assert.equal(await started.ended, 500);
  assert.deepEqual(started.dispatched.at(-1), { type: 'callerGone', requestId: REQUEST_ID });
});
