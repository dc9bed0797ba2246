import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import {
  BackendServerFailure,
  CALL_ID_HEADER,
  HttpEngineAdapter,
  type CompletionBody,
  type CompletionStream,
} from '@hornbeampond/adapters';
import type { Order } from '@hornbeampond/schema';
import { ManualTimerService } from '../ManualTimerService.js';
import { FakeEngine, type FakeEngineOptions } from '../fakes/FakeEngine.js';
import { digestPrompt, generateText } from '../fakes/generateToken.js';

const body: CompletionBody = {
  model: 'appraiser',
  messages: [{ role: 'user', content: 'Condition of a near mint card, please' }],
  max_tokens: 12,
};
const wholeText = generateText(digestPrompt(body.messages), 0, 12);
const { signal } = new AbortController();

/** Makes a test fail instead of hang if a call is unexpectedly left unanswered. */
const withTimeout = { timeout: 20_000 };

async function startEngine(t: TestContext, options: FakeEngineOptions = {}) {
  const engine = await FakeEngine.start({ model: 'appraiser', ...options });
  const adapter = new HttpEngineAdapter(engine);
  t.after(async () => {
    await adapter.close();
    await engine.close();
  });
  return { engine, adapter };
}

/** Reads a stream to its end or failure. */
async function readAll(stream: CompletionStream) {
  let text = '';
  let tokens = 0;
  let finishReason: string | undefined;
  let failure: unknown;
  try {
    for await (const chunk of stream) {
      if (chunk.type === 'token') {
        text += chunk.text;
        tokens += chunk.tokens;
      } else finishReason = chunk.finishReason;
    }
  } catch (error) {
    failure = error;
  }
  return { text, tokens, finishReason, failure };
}

function assertFailure(error: unknown, failure: string, sent: string): true {
  assert.ok(error instanceof BackendServerFailure, String(error));
  assert.deepEqual([error.failure, error.sent], [failure, sent]);
  return true;
}

test('a complete answer is streamed in order and ends once', async (t) => {
  const { engine, adapter } = await startEngine(t);
  const start = { attemptId: 'a-1', body, priority: 5, signal };
  const answer = await readAll(await adapter.startCompletion(start));
  assert.deepEqual(answer, {
    text: wholeText,
    tokens: 12,
    finishReason: 'stop',
    failure: undefined,
  });
  assert.equal(engine.counts.finished, 1);
});

test('a connection is reused although the body ends after [DONE]', async (t) => {
  // The server ends the body only after the reader has stopped at `[DONE]`. Closing the connection
  // at `[DONE]` would make every answer open a new one.
  let connections = 0;
  let endBody = () => {};
  const stop = { choices: [{ finish_reason: 'stop' }] };
  const server = createServer((request, response) => {
    response.setHeader(CALL_ID_HEADER, String(request.headers[CALL_ID_HEADER]));
    response.write(`data: ${JSON.stringify(stop)}\n\ndata: [DONE]\n\n`);
    endBody = () => response.end();
  });
  server.on('connection', () => {
    connections += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const adapter = new HttpEngineAdapter({ host: '127.0.0.1', port });
  t.after(async () => {
    await adapter.close();
    server.close();
  });
  for (const attemptId of ['a-1', 'a-2', 'a-3', 'a-4', 'a-5', 'a-6']) {
    await readAll(await adapter.startCompletion({ attemptId, body, priority: 5, signal }));
    endBody();
  }
  // A call can start before the previous connection is free again, so a few more are allowed.
  assert.ok(connections <= 3, `${connections} connections`);
});

test('a stream cut after 5 tokens is resumed on another engine byte for byte', async (t) => {
  // The text of the interrupted stream and of its continuation on the second engine must join to
  // the uninterrupted answer.
  const first = await startEngine(t);
  const second = await startEngine(t);
  first.engine.cutStreamsAfter(5);
  const interrupted = await readAll(
    await first.adapter.startCompletion({ attemptId: 'a-1', body, priority: 5, signal }),
  );
  assertFailure(interrupted.failure, 'connectionLost', 'maybe');
  assert.equal(interrupted.tokens, 5);
  const resume = { generatedText: interrupted.text, generatedTokens: interrupted.tokens };
  const rest = await readAll(
    await second.adapter.startCompletion({ attemptId: 'a-2', body, resume, priority: 5, signal }),
  );
  assert.equal(interrupted.text + rest.text, wholeText);
  assert.equal(second.engine.counts.wrongResumes, 0);
});

test('a stream cut before its first, a middle or its last token is not reported as complete', async (t) => {
  // The connection ends after 0, 6 and 11 of 12 tokens. The reader gets these tokens and then a
  // failure, because only `[DONE]` completes an answer.
  const { engine, adapter } = await startEngine(t);
  for (const tokens of [0, 6, 11]) {
    engine.cutStreamsAfter(tokens);
    const start = { attemptId: `a-${tokens}`, body, priority: 5, signal };
    const answer = await readAll(await adapter.startCompletion(start));
    assertFailure(answer.failure, 'connectionLost', 'maybe');
    assert.equal(answer.tokens, tokens);
    assert.equal(answer.finishReason, undefined);
  }
});

test('an engine that dies during a stream fails it and refuses connections until its restart', async (t) => {
  // The stream fails with a lost connection. The next call fails to connect, so nothing was sent.
  // The restarted engine serves again.
  const { engine, adapter } = await startEngine(t);
  engine.stallStreamsAfter(4);
  const start = { attemptId: 'a-1', body, priority: 5, signal };
  const reading = readAll(await adapter.startCompletion(start));
  await engine.waitFor(() => engine.counts.generatedTokens === 4);
  await engine.die();
  assertFailure((await reading).failure, 'connectionLost', 'maybe');
  await assert.rejects(adapter.startCompletion(start), (error) =>
    assertFailure(error, 'connectFailed', 'nothing'),
  );
  engine.stallStreamsAfter(undefined);
  await engine.restart();
  assert.equal((await readAll(await adapter.startCompletion(start))).text, wholeText);
});

test(
  'a stalled stream ends when its caller aborts, while a probe on a new connection succeeds',
  withTimeout,
  async (t) => {
    // The connection of a stream stalls and carries neither token nor end. The probe opens a new
    // connection and succeeds. The caller aborts the stream and resumes it with the text so far.
    const { engine, adapter } = await startEngine(t);
    engine.stallStreamsAfter(3);
    const callerAbort = new AbortController();
    const start = { attemptId: 'a-1', body, priority: 5, signal: callerAbort.signal };
    const reading = readAll(await adapter.startCompletion(start));
    await engine.waitFor(() => engine.counts.generatedTokens === 3);
    await adapter.readLoad(signal);
    engine.stallOpenConnections();
    engine.stallStreamsAfter(undefined);
    await adapter.probe(signal);
    callerAbort.abort();
    const interrupted = await reading;
    assertFailure(interrupted.failure, 'silent', 'maybe');
    adapter.renewConnections();
    const resume = { generatedText: interrupted.text, generatedTokens: interrupted.tokens };
    const rest = await readAll(
      await adapter.startCompletion({ attemptId: 'a-2', body, resume, priority: 5, signal }),
    );
    assert.equal(interrupted.text + rest.text, wholeText);
  },
);

test('a busy engine, a wrong resume text and a malformed request get distinct failures', async (t) => {
  const { engine, adapter } = await startEngine(t);
  const start = { attemptId: 'a-1', body, priority: 5, signal };
  engine.setBusy(true);
  await assert.rejects(adapter.startCompletion(start), (error) => {
    assertFailure(error, 'busy', 'maybe');
    assert.equal((error as BackendServerFailure).retryAfter, 1000);
    return true;
  });
  engine.setBusy(false);
  const resume = { generatedText: 'text of another answer', generatedTokens: 3 };
  await assert.rejects(adapter.startCompletion({ ...start, resume }), (error) =>
    assertFailure(error, 'clientError', 'maybe'),
  );
  const broken = { messages: 'none' as never };
  await assert.rejects(adapter.startCompletion({ ...start, body: broken }), (error) =>
    assertFailure(error, 'clientError', 'maybe'),
  );
  assert.equal(engine.counts.runs, 0);
});

test('a poison request kills only an engine with a poison marker set', async (t) => {
  const first = await startEngine(t);
  const second = await startEngine(t);
  first.engine.setPoison('MARKER');
  const poison = { messages: [{ role: 'user', content: 'a MARKER b' }] };
  const start = { attemptId: 'a-1', body: poison, priority: 5, signal };
  await assert.rejects(first.adapter.startCompletion(start), (error) =>
    assertFailure(error, 'connectionLost', 'maybe'),
  );
  assert.deepEqual([first.engine.alive, first.engine.crashCount], [false, 1]);
  await readAll(await second.adapter.startCompletion(start));
  assert.equal(second.engine.alive, true);
});

test('a resumed run with the imported KV cache recomputes no tokens', async (t) => {
  // An attempt is resumed after six tokens, with and without its exported cache. With the cache,
  // neither prompt nor generated tokens are computed again; without it, all of them are.
  const first = await startEngine(t);
  first.engine.stallStreamsAfter(6);
  const reading = readAll(
    await first.adapter.startCompletion({ attemptId: 'a-1', body, priority: 5, signal }),
  );
  await first.engine.waitFor(() => first.engine.counts.generatedTokens === 6);
  const cache = await first.adapter.exportCache('a-1', signal);
  await first.adapter.cancel('a-1', signal);
  const interrupted = await reading;
  const resume = { generatedText: interrupted.text, generatedTokens: interrupted.tokens };
  const recomputed: number[] = [];
  for (const moved of [true, false]) {
    const { engine, adapter } = await startEngine(t);
    if (moved) await adapter.importCache(cache, signal);
    const start = { attemptId: 'a-2', body, resume, priority: 5, signal };
    const rest = await readAll(await adapter.startCompletion(start));
    assert.equal(interrupted.text + rest.text, wholeText);
    recomputed.push(engine.counts.recomputedTokens);
  }
  assert.deepEqual(recomputed, [0, cache.tokens]);
});

test('an aborted call frees its slot for the waiting call of highest priority', async (t) => {
  const { engine, adapter } = await startEngine(t, { concurrency: 1, maxQueued: 2 });
  engine.stallStreamsAfter(2);
  const callerAbort = new AbortController();
  const first = { attemptId: 'first', body, priority: 5, signal: callerAbort.signal };
  const reading = readAll(await adapter.startCompletion(first));
  await engine.waitFor(() => engine.counts.generatedTokens === 2);
  const low = await adapter.startCompletion({ attemptId: 'low', body, priority: 9, signal });
  const high = await adapter.startCompletion({ attemptId: 'high', body, priority: 0, signal });
  const full = { attemptId: 'full', body, priority: 0, signal };
  await assert.rejects(adapter.startCompletion(full), (error) =>
    assertFailure(error, 'busy', 'maybe'),
  );
  const order: string[] = [];
  engine.stallStreamsAfter(undefined);
  callerAbort.abort();
  await reading;
  await Promise.all([
    readAll(low).then(() => order.push('low')),
    readAll(high).then(() => order.push('high')),
  ]);
  assert.deepEqual(order, ['high', 'low']);
});

test('an order with an old fencing number is refused, unless the engine ignores fencing', async (t) => {
  const { engine, adapter } = await startEngine(t);
  const load = (epoch: number, sequence: number, model: string) =>
    adapter.sendOrder({ epoch, sequence, action: { type: 'load', model } }, signal);
  assert.equal(await load(2, 1, 'new'), 'done');
  assert.equal(await load(1, 9, 'old'), 'refusedAsOld');
  assert.equal(await load(2, 1, 'new'), 'done');
  engine.setOrdersFail(true);
  assert.equal(await load(2, 2, 'broken'), 'failed');
  engine.setOrdersFail(false);
  assert.equal((await adapter.readLoad(signal)).model, 'new');
  engine.setChecksFencing(false);
  assert.equal(await load(1, 10, 'old'), 'done');
  assert.equal((await adapter.readLoad(signal)).model, 'old');
});

test('load reports show an earlier state, and cache events are delayed and can be lost', async (t) => {
  const timers = new ManualTimerService();
  const { engine, adapter } = await startEngine(t, { timers, loadLag: 3000, cacheBlocks: 2 });
  engine.prefixCache.eventLag = 1000;
  engine.prefixCache.eventLossInterval = 2;
  engine.stallStreamsAfter(1);
  const content = Array.from({ length: 60 }, (_, word) => `word${word}`).join(' ');
  const long = { messages: [{ role: 'user', content }] };
  await adapter.startCompletion({ attemptId: 'a-1', body: long, priority: 5, signal });
  await engine.waitFor(() => engine.running === 1);
  const before = await adapter.readLoad(signal);
  assert.deepEqual(await adapter.readCacheEvents(0, signal), { events: [], newestSequence: 0 });
  timers.advance(3000);
  const after = await adapter.readLoad(signal);
  assert.deepEqual([before.running, after.running], [0, 1]);
  assert.equal(after.measuredAt, timers.wallNow() - 3000);
  const { events, newestSequence } = await adapter.readCacheEvents(0, signal);
  // The second event, an eviction, is lost; only the newest sequence reveals it.
  assert.deepEqual(
    events.map(({ change, sequence }) => [change, sequence]),
    [['stored', 1]],
  );
  assert.equal(newestSequence, 2);
});

test('an order in progress when the engine dies has no effect after the restart', async (t) => {
  // An order whose delay ends after the death of the engine must not change the restarted engine.
  const timers = new ManualTimerService();
  const { engine, adapter } = await startEngine(t, { timers, orderDelay: 1000 });
  const order: Order = { epoch: 1, sequence: 1, action: { type: 'changeRole', role: 'decode' } };
  const lost = adapter.sendOrder(order, signal);
  const refused = assert.rejects(lost, (error) => assertFailure(error, 'connectionLost', 'maybe'));
  await engine.waitFor(() => engine.requestCounts.get('POST /engine/orders') === 1);
  await engine.die();
  await refused;
  timers.advance(1000);
  await engine.restart();
  assert.deepEqual([engine.role, engine.orders], ['both', []]);
});

// An engine that answers may have crashed and restarted; only its incarnation reveals this.
test('a probe returns the incarnation, which changes with a restart', async (t) => {
  const { engine, adapter } = await startEngine(t);
  const { incarnation } = await adapter.probe(signal);
  assert.equal(incarnation, engine.incarnation);
  assert.equal((await adapter.probe(signal)).incarnation, incarnation);
  await engine.die();
  await engine.restart();
  const after = (await adapter.probe(signal)).incarnation;
  assert.ok(after !== undefined && after !== incarnation);
});
