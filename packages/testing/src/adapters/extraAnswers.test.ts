/**
 * A server of the system's own interface answers a call twice. The second answer arrives while no call
 * waits, or at the point where the answer to the next call on the connection is expected.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  BackendServerFailure,
  CALL_ID_HEADER,
  HttpEngineAdapter,
  HttpPlainServiceAdapter,
  HttpPlatformAdapter,
} from '@hornbeampond/adapters';
import {
  RepeatingServer,
  type AnswerScript,
  type ScriptedAnswer,
} from '../fakes/RepeatingServer.js';

const CALL_MILLISECONDS = 5000;

const CALL_COUNT = 6;

/** After this, what the server has sent has been read. */
const IDLE_MILLISECONDS = 50;

const makeSignal = () => AbortSignal.timeout(CALL_MILLISECONDS);

async function startServer(context: TestContext, script: AnswerScript): Promise<RepeatingServer> {
  const server = await RepeatingServer.start(script);
  context.after(async () => server.close());
  return server;
}

/** Lets the answers name their calls. */
function naming(script: AnswerScript): AnswerScript {
  return (request, number): ScriptedAnswer => {
    const answer = script(request, number);
    const callId = String(request.headers[CALL_ID_HEADER]);
    return { ...answer, headers: { ...answer.headers, [CALL_ID_HEADER]: callId } };
  };
}

const answerNumber: AnswerScript = (_request, number) => ({ text: `answer ${number}` });

type Send = () => Promise<string>;

function makeSend(context: TestContext, { address }: RepeatingServer): Send {
  const adapter = new HttpPlainServiceAdapter(address);
  context.after(async () => adapter.close());
  return async () => {
    const { body } = await adapter.send({
      method: 'GET',
      path: '/prices',
      headers: {},
      requiresNewConnection: false,
      signal: makeSignal(),
    });
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) chunks.push(chunk);
    return Buffer.concat(chunks).toString();
  };
}

/** Sends calls one after the other, each on an idle connection if there is one. */
async function sendAll(send: Send): Promise<string[]> {
  const outcomes: string[] = [];
  for (let call = 0; call < CALL_COUNT; call += 1) {
    const outcome = await send().catch((error: unknown) => {
      assert.ok(error instanceof BackendServerFailure, String(error));
      return `${error.failure} ${error.sent}`;
    });
    outcomes.push(outcome);
    await wait(IDLE_MILLISECONDS);
  }
  return outcomes;
}

const ownAnswers = Array.from({ length: CALL_COUNT }, (_, number) => `answer ${number}`);

// Guards against callers who get the answers to the calls of others.
test('a call to a service that answers twice gets its own answer', async (context) => {
  const server = await startServer(context, answerNumber);
  assert.deepEqual(await sendAll(makeSend(context, server)), ownAnswers);
});

// Guards against the same where calls share connections.
test('a call gets its own answer or none if the answers name their calls', async (context) => {
  const server = await startServer(context, naming(answerNumber));
  const outcomes = await sendAll(makeSend(context, server));
  outcomes.forEach((outcome, number) =>
    assert.ok([`answer ${number}`, 'malformed maybe'].includes(outcome), outcome),
  );
  assert.notEqual(outcomes.filter((outcome) => outcome.startsWith('answer')).length, 0);
});

// Guards against an answer without a name that is taken because the ones before it had names.
test('an answer that names no call is not taken on a shared connection', async (context) => {
  const named = naming(answerNumber);
  const server = await startServer(context, (request, number) =>
    number < 3 ? named(request, number) : answerNumber(request, number),
  );
  server.repeats = false;
  const outcomes = await sendAll(makeSend(context, server));
  assert.deepEqual(outcomes, [
    ...ownAnswers.slice(0, 3),
    'malformed maybe',
    ...ownAnswers.slice(4),
  ]);
});

// Guards against a connection for each call to a server that names the calls that it answers.
test('calls share a connection if the answers name them', async (context) => {
  const server = await startServer(context, naming(answerNumber));
  server.repeats = false;
  assert.deepEqual(await sendAll(makeSend(context, server)), ownAnswers);
  assert.ok(server.connections <= 2, `${server.connections} connections`);
});

// Guards against a header of the system's own that callers see.
test('the name of a call is not passed on', async (context) => {
  const server = await startServer(context, naming(answerNumber));
  const adapter = new HttpPlainServiceAdapter(server.address);
  context.after(async () => adapter.close());
  const call = { method: 'GET', path: '/', headers: {}, requiresNewConnection: true } as const;
  const { headers } = await adapter.send({ ...call, signal: makeSignal() });
  assert.equal(headers[CALL_ID_HEADER], undefined);
});

// Guards against an answer that is lost because the rest of an extra one precedes it on its connection.
test('a connection on which bytes come while no call waits is not used again', async (context) => {
  const server = await startServer(context, naming(answerNumber));
  server.repeats = false;
  const send = makeSend(context, server);
  assert.equal(await send(), 'answer 0');
  assert.equal(await send(), 'answer 1');
  const extra = 'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nanswer 1';
  server.write(extra.slice(0, extra.length / 2));
  await wait(IDLE_MILLISECONDS);
  server.restOfAnswer = extra.slice(extra.length / 2);
  assert.equal(await send(), 'answer 2');
});

// Guards against callers who get the completions of others.
test('a completion of an engine that answers twice is that of its own call', async (context) => {
  const server = await startServer(context, (_request, number) => {
    const events = [
      { choices: [{ delta: { content: `answer ${number}` } }] },
      { choices: [{ delta: {}, finish_reason: 'stop' }] },
    ].map((event) => `data: ${JSON.stringify(event)}\n\n`);
    const text = `${events.join('')}data: [DONE]\n\n`;
    return { headers: { 'content-type': 'text/event-stream' }, text };
  });
  const adapter = new HttpEngineAdapter(server.address);
  context.after(async () => adapter.close());
  const send = async () => {
    const start = { attemptId: 'a', priority: 0, body: { messages: [] }, signal: makeSignal() };
    let text = '';
    for await (const chunk of await adapter.startCompletion(start)) {
      if (chunk.type === 'token') text += chunk.text;
    }
    return text;
  };
  assert.deepEqual(await sendAll(send), ownAnswers);
});

// Guards against lists that are one read old for as long as their connection lives.
test('a list of instances that comes twice is not taken for the next list', async (context) => {
  const server = await startServer(context, (_request, number) => ({
    text: JSON.stringify({ notices: [{ instance: `i-${number}`, goneAt: 1 }] }),
  }));
  const adapter = new HttpPlatformAdapter(server.url);
  context.after(async () => adapter.close());
  const read = async () => {
    const [notice] = await adapter.readNotices(makeSignal());
    return notice?.instance ?? 'none';
  };
  const outcomes = await sendAll(read);
  assert.deepEqual(
    outcomes,
    outcomes.map((_, number) => `i-${number}`),
  );
});
