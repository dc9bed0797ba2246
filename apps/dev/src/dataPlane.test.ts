/**
 * What callers receive from an entry over HTTP while backend servers or callers fail, stall or send
 * invalid requests. Streamed answers are compared with the text of a run without faults.
 */
import assert from 'node:assert/strict';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { test, type TestContext } from 'node:test';
import { fetch, type RequestInit, type Response } from 'undici';
import { SystemTimerService } from '@hornbeampond/runtime';
import { digestPrompt, generateText, type FakeEngine } from '@hornbeampond/testing';
import { DevCluster, type DevOptions } from './DevCluster.js';
import { devKeys } from './devTables.js';

const CHECK_INTERVAL_MILLISECONDS = 10;

const timers = new SystemTimerService();
const authorization = `Bearer ${devKeys.workspace}`;

interface StartedCluster {
  readonly cluster: DevCluster;
  readonly callers: string;
}

interface Problem {
  readonly kind: string;
  readonly ran: string;
  readonly faults?: readonly { readonly where: string }[];
}

async function waitUntil(
  description: string,
  condition: () => boolean,
  timeoutMilliseconds = 10_000,
): Promise<void> {
  const endsAt = timers.monotonicNow() + timeoutMilliseconds;
  while (!condition()) {
    assert.ok(
      timers.monotonicNow() < endsAt,
      `not within ${timeoutMilliseconds} ms: ${description}`,
    );
    await timers.wait(CHECK_INTERVAL_MILLISECONDS);
  }
}

async function startCluster(
  context: TestContext,
  more: Partial<DevOptions> = {},
): Promise<StartedCluster> {
  const options = { callersPort: 0, operatorsPort: 0, logLevel: 'error' as const, ...more };
  const cluster = new DevCluster(options);
  context.after(async () => cluster.close());
  const ports = await cluster.start();
  return { cluster, callers: `http://127.0.0.1:${ports.callers}` };
}

function generateAnswer(content: string, tokens: number): string {
  return generateText(digestPrompt([{ role: 'user', content }]), 0, tokens);
}

function formatBody(content: string, tokens: number): string {
  const messages = [{ role: 'user', content }];
  return JSON.stringify({ messages, max_tokens: tokens, stream: true });
}

async function sendChat(
  callers: string,
  content: string,
  tokens: number,
  init: RequestInit = {},
): Promise<Response> {
  return fetch(`${callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization },
    body: formatBody(content, tokens),
    ...init,
  });
}

function readText(streamed: string): string {
  const events = streamed.split('\n\n').filter((event) => event !== '');
  assert.equal(events.at(-1), 'data: [DONE]', streamed.slice(-400));
  return events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice('data: '.length)) as StreamedChunk)
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .join('');
}

interface StreamedChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

async function assertWholeAnswer(
  response: Response,
  content: string,
  tokens: number,
): Promise<void> {
  const body = await response.text();
  assert.equal(response.status, 200, body);
  assert.equal(readText(body), generateAnswer(content, tokens));
}

function findBusyEngine(cluster: DevCluster): FakeEngine {
  const busy = cluster.engines.find(({ running, counts }) => running > 0 && counts.runs > 0);
  assert.ok(busy !== undefined);
  return busy;
}

function sumEngineCounts(cluster: DevCluster, count: keyof FakeEngine['counts']): number {
  return cluster.engines.reduce((sum, { counts }) => sum + counts[count], 0);
}

async function assertProblem(response: Response, status: number, kind: string): Promise<Problem> {
  const body = await response.text();
  assert.equal(response.status, status, body);
  assert.match(response.headers.get('content-type') ?? '', /^application\/problem\+json/);
  const problem = JSON.parse(body) as Problem;
  assert.equal(problem.kind, kind);
  return problem;
}

// Guards against lost or repeated text when streams migrate from an engine whose reclaim notice is
// shorter than the streams. `wrongResumes` counts resumes with a text that the prompt does not
// generate.
test('streams on an engine with a reclaim notice migrate and stay complete', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const questions = Array.from({ length: 6 }, (_, index) => `Which stop is number ${index}?`);
  const responses = await Promise.all(
    questions.map((question) => sendChat(callers, question, 100)),
  );
  const leaving = findBusyEngine(cluster);
  await waitUntil('tokens', () => leaving.counts.generatedTokens > 10);
  const runsBefore = sumEngineCounts(cluster, 'runs');
  cluster.platform.giveNotice(leaving.instance, 800);
  await Promise.all(
    responses.map((response, index) => assertWholeAnswer(response, questions[index] ?? '', 100)),
  );
  assert.equal(sumEngineCounts(cluster, 'wrongResumes'), 0);
  assert.ok(sumEngineCounts(cluster, 'runs') > runsBefore, 'no stream was resumed in another run');
});

// Guards against waiting forever on a connection that stays open but carries no more data, as when a
// middlebox has dropped its state. The engine itself still answers new connections.
test('a stream on a stalled connection is resumed over another', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const response = await sendChat(callers, 'Who can hear me?', 60);
  const busyEngine = findBusyEngine(cluster);
  await waitUntil('tokens', () => busyEngine.counts.generatedTokens > 5);
  busyEngine.stallOpenConnections();
  await assertWholeAnswer(response, 'Who can hear me?', 60);
  assert.equal(sumEngineCounts(cluster, 'wrongResumes'), 0);
  assert.equal(sumEngineCounts(cluster, 'runs'), 2);
});

// Guards against waiting forever on an engine that answers probes but whose streams make no progress.
test('a stream that stalls is resumed on the other engine', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const response = await sendChat(callers, 'What holds the train?', 60);
  const busyEngine = findBusyEngine(cluster);
  busyEngine.stallStreamsAfter(10);
  await assertWholeAnswer(response, 'What holds the train?', 60);
  assert.equal(sumEngineCounts(cluster, 'wrongResumes'), 0);
  assert.ok(
    cluster.engines.some((engine) => engine !== busyEngine && engine.counts.finished === 1),
  );
});

// Guards against unbounded buffering for a caller that does not read, and against treating the
// engine that it pauses as stalled: the answer must be neither interrupted nor run again.
test('a caller that does not read pauses its engine and still gets the whole answer', async (context) => {
  const { cluster, callers } = await startCluster(context, { engineOptions: { tokenDelay: 0 } });
  const tokens = 120_000;
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const options = { method: 'POST', headers: { authorization }, agent: false } as const;
    const sent = sendRequest(`${callers}/v1/chat/completions`, options, resolve);
    sent.on('error', reject);
    sent.end(formatBody('Who reads so slowly?', tokens));
  });
  assert.equal(response.statusCode, 200);
  const pauseMilliseconds = 5500;
  let generatedBefore = -1;
  let lastChangeAt = timers.monotonicNow();
  await waitUntil(
    'a pause of the engine',
    () => {
      const generated = sumEngineCounts(cluster, 'generatedTokens');
      if (generated !== generatedBefore) lastChangeAt = timers.monotonicNow();
      generatedBefore = generated;
      return timers.monotonicNow() - lastChangeAt > pauseMilliseconds;
    },
    20_000,
  );
  context.diagnostic(`tokens ahead of the caller: ${generatedBefore} of ${tokens}`);
  assert.ok(generatedBefore < tokens, 'the engine was not paused');
  const parts: Buffer[] = [];
  for await (const part of response) parts.push(part as Buffer);
  const text = readText(Buffer.concat(parts).toString());
  assert.ok(text === generateAnswer('Who reads so slowly?', tokens), 'the answer is not complete');
  assert.equal(sumEngineCounts(cluster, 'runs'), 1);
});

// Guards against engine capacity that is spent on an answer nobody receives.
test('a caller that disconnects cancels the work of its engine', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const controller = new AbortController();
  const response = await sendChat(callers, 'Never mind?', 2000, { signal: controller.signal });
  const busyEngine = findBusyEngine(cluster);
  controller.abort();
  await assert.rejects(response.text());
  await waitUntil(
    'a stopped run',
    () => busyEngine.counts.stopped === 1 && busyEngine.running === 0,
  );
  // The cancel and the end of the connection can reach the engine in either order.
  const countCancelRequests = () => busyEngine.requestCounts.get('POST /engine/cancel') ?? 0;
  await waitUntil('the cancel', () => countCancelRequests() === 1);
  assert.equal(sumEngineCounts(cluster, 'runs'), 1);
});

// Guards against cancelling a claimed call, which may already have booked a seat, when its caller
// disconnects. A resend gets the answer of the first run.
test('a claimed call whose caller disconnects runs to completion', async (context) => {
  const { cluster, callers } = await startCluster(context);
  cluster.services.forEach((service) => service.setAnswerDelay(300));
  const controller = new AbortController();
  const init = { method: 'POST', headers: { authorization, 'idempotency-key': 'left' }, body: 'a' };
  const first = fetch(`${callers}/reservations`, { ...init, signal: controller.signal });
  const countReservationRequests = () =>
    cluster.services.reduce(
      (sum, { requestCounts }) => sum + (requestCounts.get('POST /reservations') ?? 0),
      0,
    );
  await waitUntil('the send', () => countReservationRequests() === 1);
  controller.abort();
  await assert.rejects(first);
  const countRuns = () =>
    cluster.services.reduce((sum, service) => sum + service.countRuns('left'), 0);
  await waitUntil('the run', () => countRuns() === 1);
  const endsAt = timers.monotonicNow() + 5000;
  let again = await fetch(`${callers}/reservations`, init);
  while (again.status === 409 && timers.monotonicNow() < endsAt) {
    await timers.wait(CHECK_INTERVAL_MILLISECONDS);
    again = await fetch(`${callers}/reservations`, init);
  }
  assert.equal(again.status, 200, await again.text());
  assert.equal(again.headers.get('idempotent-replay'), 'true');
  assert.equal(countRuns(), 1);
});

test('a request that is too large, malformed or unsupported is refused with a problem document', async (context) => {
  const limits = { bodyBytes: 4096, headerBytes: 4096 };
  const { cluster, callers } = await startCluster(context, { limits });
  const large = await sendChat(callers, 'x'.repeat(8192), 1);
  assert.equal((await assertProblem(large, 413, 'bodyTooLarge')).ran, 'no');
  const headers = { authorization, 'x-large': 'x'.repeat(8192) };
  const wideHeaders = await sendChat(callers, 'x', 1, { headers });
  assert.equal((await assertProblem(wideHeaders, 431, 'headersTooLarge')).ran, 'no');
  const text = await sendChat(callers, 'x', 1, { body: 'not JSON' });
  assert.equal((await assertProblem(text, 400, 'badRequest')).ran, 'no');
  const messages = [{ role: 'user', content: 'x' }];
  const tools = [{ type: 'function', function: { name: 'book' } }];
  for (const unsupported of [{ n: 2 }, { tools }, { functions: [{ name: 'book' }] }]) {
    const body = JSON.stringify({ messages, ...unsupported });
    const answer = await sendChat(callers, 'x', 1, { body });
    const problem = await assertProblem(answer, 400, 'badRequest');
    assert.deepEqual(
      problem.faults?.map(({ where }) => where),
      Object.keys(unsupported),
    );
  }
  assert.equal(sumEngineCounts(cluster, 'runs'), 0);
});

// Guards against a request that crashes every engine it is sent to. The requests in progress at the
// first crash become suspects and run isolated; a second crash identifies the poison request, which
// is refused from then on. The other requests must still be answered completely.
test('a poison request crashes two engines at most', async (context) => {
  const { cluster, callers } = await startCluster(context);
  await cluster.addEngine('engine-3');
  await cluster.addEngine('engine-4');
  cluster.engines.forEach((engine) => engine.setPoison('arsenic'));
  const questions = Array.from({ length: 8 }, (_, index) => `What is for lunch on day ${index}?`);
  const responses = await Promise.all(questions.map((question) => sendChat(callers, question, 80)));
  const pendingAssertions = responses.map((response, index) =>
    assertWholeAnswer(response, questions[index] ?? '', 80),
  );
  const countCrashes = () => cluster.engines.reduce((sum, { crashCount }) => sum + crashCount, 0);
  let refused: Response | undefined;
  for (let send = 0; send < 6 && refused === undefined; send += 1) {
    const answer = await sendChat(callers, 'Is there arsenic in it?', 10);
    const body = await answer.clone().text();
    if (body.includes('"quarantined"')) refused = answer;
  }
  await Promise.all(pendingAssertions);
  assert.ok(refused !== undefined, 'the poison request was never refused');
  assert.ok(Number(refused.headers.get('retry-after')) >= 1);
  await assertProblem(refused, 503, 'quarantined');
  const again = await sendChat(callers, 'Is there arsenic in it?', 10);
  await assertProblem(again, 503, 'quarantined');
  assert.ok(countCrashes() >= 1, 'the poison request crashed no engine');
  assert.ok(countCrashes() <= 2, `${countCrashes()} engines crashed`);
  assert.equal(sumEngineCounts(cluster, 'wrongResumes'), 0);
});

// Guards against an interrupted answer that looks complete: when the entry shuts down before the end
// of the stream, the caller gets an error event with the number of tokens that it has received.
test('an answer that is interrupted by the shutdown of its entry ends with the token count', async (context) => {
  const { cluster, callers } = await startCluster(context, { shutdownMilliseconds: 1000 });
  const response = await sendChat(callers, 'Is there no one left?', 400);
  const busyEngine = findBusyEngine(cluster);
  await waitUntil('tokens', () => busyEngine.counts.generatedTokens > 5);
  const closing = cluster.close();
  const streamed = await response.text();
  await closing;
  const [before = '', event = ''] = streamed.split('event: error\ndata: ');
  assert.ok(!streamed.includes('[DONE]'));
  const { error } = JSON.parse(event) as { error: Problem & { readonly tokensGiven?: number } };
  const givenText = readText(`${before}data: [DONE]\n\n`);
  assert.ok(givenText.length > 0);
  assert.equal(givenText, generateAnswer('Is there no one left?', error.tokensGiven ?? 0));
});
