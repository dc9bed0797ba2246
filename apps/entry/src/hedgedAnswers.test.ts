/** What a caller receives while two attempts of its call run, and what the attempts report. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, get, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import {
  BackendServerFailure,
  RelayAdapter,
  RelayBody,
  type BodyEnd,
  type RelayResponse,
} from '@hornbeampond/adapters';
import type { EntryEventPayload } from '@hornbeampond/entry-core';
import { ManualTimerService } from '@hornbeampond/testing';
import { AdapterDirectory } from './AdapterDirectory.js';
import { AttemptRunner, type StartAttemptEffect } from './AttemptRunner.js';
import { CallProtocol, type ParsedCall } from './CallProtocol.js';
import { RelayAnswer } from './RelayAnswer.js';
import { StopOrders } from './StopOrders.js';

const LARGE_BYTES = 400 * 1024;
const HEDGE_AFTER_MILLISECONDS = 150;

class ManualBody extends RelayBody {
  private receive: (chunk: Uint8Array) => Promise<void> | undefined = () => undefined;

  end: () => void = () => {};

  fail: (error: Error) => void = () => {};

  override async forEach(
    receive: (chunk: Uint8Array) => Promise<void> | undefined,
  ): Promise<BodyEnd> {
    this.receive = receive;
    await new Promise<void>((resolve, reject) => {
      this.end = resolve;
      this.fail = reject;
    });
    return { shownBy: 'framing' };
  }

  push(text: string): void {
    void this.receive(Buffer.from(text));
  }
}

/** A backend server that answers when the test says so. */
class ManualServer extends RelayAdapter {
  readonly body = new ManualBody();

  isAborted = false;

  private respondWith: (response: RelayResponse) => void = () => {};

  override async send({ signal }: { signal: AbortSignal }): Promise<RelayResponse> {
    return new Promise((resolve, reject) => {
      this.respondWith = resolve;
      signal.addEventListener('abort', () => {
        this.isAborted = true;
        reject(new Error('aborted'));
      });
    });
  }

  async respond(status = 200, server = ''): Promise<void> {
    this.respondWith({ status, headers: [['x-server', server]], isStream: false, body: this.body });
    await nextTurn();
  }

  override async moveCache(): Promise<string> {
    return '';
  }

  override async probe(): Promise<Record<string, never>> {
    return {};
  }

  override renewConnections(): void {}

  override async close(): Promise<void> {
    this.isAborted = true;
  }
}

class UnusedProtocol extends CallProtocol {
  override parseCall(): ParsedCall {
    throw new TypeError('this test parses no calls');
  }

  override promisesNotRun(): boolean {
    return false;
  }

  override writeProblem(response: ServerResponse): void {
    response.writeHead(502).end();
  }
}

function makeEffect(number: number, fields: Partial<StartAttemptEffect> = {}): StartAttemptEffect {
  return {
    type: 'startAttempt',
    requestId: 'one',
    attemptId: `one.${number}`,
    target: { instance: `server-${number}`, kind: 'plainService', host: '192.0.2.1', port: number },
    workspace: 'laden',
    timeLeft: 1000,
    resumeFromTokens: 0,
    priority: 0,
    sendOnce: false,
    firstByteTimeout: 500,
    streamIdleTimeout: 500,
    isHeld: true,
    ...fields,
  };
}

async function receiveAnswer(message: IncomingMessage) {
  let body = '';
  message.setEncoding('latin1');
  for await (const text of message) body += text;
  return { status: message.statusCode, server: message.headers['x-server'], body };
}

/** Accepts one call and runs two attempts of it, with the effects that the reducer would return. */
async function startRace(context: TestContext, fields: Partial<StartAttemptEffect> = {}) {
  const timers = new ManualTimerService();
  const servers = [new ManualServer(), new ManualServer()] as const;
  const events: EntryEventPayload[] = [];
  const httpServer = createServer();
  httpServer.listen(0, '127.0.0.1');
  await once(httpServer, 'listening');
  context.after(() => {
    httpServer.closeAllConnections();
    httpServer.close();
  });
  const request = get({ port: (httpServer.address() as AddressInfo).port });
  request.on('error', () => {});
  const received = once(request, 'response').then(([message]) =>
    receiveAnswer(message as IncomingMessage),
  );
  received.catch(() => {});
  const [, response] = (await once(httpServer, 'request')) as [IncomingMessage, ServerResponse];
  const answer = new RelayAnswer('one', response, new UnusedProtocol(), undefined);
  const exchange = {
    request: { requestId: 'one', method: 'GET', path: '/' },
    forwardedHeaders: [],
    body: Buffer.alloc(0),
    answer,
  };
  const started: { runner?: AttemptRunner } = {};
  const cancelOther = (attemptId: string) =>
    started.runner?.cancel(attemptId === 'one.1' ? 'one.2' : 'one.1');
  const dispatch = (event: EntryEventPayload) => {
    events.push(event);
    if (event.type === 'answerClaimed') cancelOther(event.attemptId);
    if (event.type !== 'attemptFinished') return;
    cancelOther(event.attemptId);
    started.runner?.passOnAnswer(event.attemptId);
    answer.finish();
  };
  const runner = new AttemptRunner({
    stopOrders: new StopOrders(),
    findMovedCache: () => undefined,
    mayHaveEnded: () => false,
    timers,
    adapters: new AdapterDirectory(
      ({ instance }) => ({ kind: 'relay', adapter: servers[instance === 'server-1' ? 0 : 1] }),
      () => {},
    ),
    findExchange: () => exchange as never,
    dispatch,
    onCallerLeft: () => {},
  });
  started.runner = runner;
  runner.start(makeEffect(1, fields));
  runner.start(makeEffect(2));
  const eventsOf = (type: EntryEventPayload['type']) =>
    events.filter((event) => event.type === type);
  return { timers, servers, runner, answer, request, received, eventsOf };
}

// Guards against an answer that is made up of bytes of two servers.
test('the caller receives only the answer of the attempt that completes first', async (context) => {
  const { servers, received, eventsOf } = await startRace(context);
  const [first, second] = servers;
  await first.respond(200, 'first');
  await second.respond(201, 'second');
  first.body.push('one ');
  second.body.push('two ');
  first.body.push('one');
  second.body.push('two');
  second.body.end();
  assert.deepEqual(await received, { status: 201, server: 'second', body: 'two two' });
  assert.equal(first.isAborted, true);
  assert.equal(eventsOf('attemptFinished').length, 1);
});

test('of two answers that end in the same turn, one is used', async (context) => {
  const { servers, received, eventsOf } = await startRace(context);
  await Promise.all([servers[0].respond(200, 'first'), servers[1].respond(200, 'second')]);
  servers[0].body.push('one');
  servers[1].body.push('two');
  servers[0].body.end();
  servers[1].body.end();
  assert.deepEqual(await received, { status: 200, server: 'first', body: 'one' });
  assert.equal(eventsOf('attemptFinished').length, 1);
});

// Guards against large answers that are mixed, or kept in memory without a limit.
test('an answer that is too large to be held ends the race and is sent as it arrives', async (context) => {
  const { servers, received, answer, eventsOf } = await startRace(context);
  const [first, second] = servers;
  await first.respond(200, 'first');
  await second.respond(200, 'second');
  first.body.push('o'.repeat(LARGE_BYTES / 2));
  second.body.push('t'.repeat(LARGE_BYTES / 2));
  assert.equal(answer.started, false);
  first.body.push('o'.repeat(LARGE_BYTES / 2));
  assert.equal(answer.started, true);
  second.body.push('t'.repeat(LARGE_BYTES / 2));
  first.body.push('end');
  first.body.end();
  const { server, body } = await received;
  assert.equal(server, 'first');
  assert.equal(body, `${'o'.repeat(LARGE_BYTES)}end`);
  assert.equal(second.isAborted, true);
  assert.equal(eventsOf('answerClaimed').length, 1);
});

// Guards against a truncated answer that is sent, or that ends the call, while another is on its way.
test('a truncated answer is reported as not started, and the other one is used', async (context) => {
  const { servers, received, eventsOf } = await startRace(context);
  const [first, second] = servers;
  await first.respond(200, 'first');
  await second.respond(200, 'second');
  first.body.push('half of o');
  first.body.fail(new BackendServerFailure('reset', { failure: 'connectionLost' }));
  await nextTurn();
  const [failed] = eventsOf('attemptFailed');
  assert.ok(failed?.type === 'attemptFailed');
  assert.deepEqual([failed.failure, failed.answerStarted], ['connectionLost', false]);
  second.body.push('two');
  second.body.end();
  assert.deepEqual(await received, { status: 200, server: 'second', body: 'two' });
});

// Guards against a second answer after the caller has received a part of the first.
test('a large answer that is truncated after it was begun is reported as started', async (context) => {
  const { servers, received, answer, eventsOf } = await startRace(context);
  await servers[0].respond(200, 'first');
  servers[0].body.push('o'.repeat(LARGE_BYTES));
  servers[0].body.fail(new BackendServerFailure('reset', { failure: 'connectionLost' }));
  await nextTurn();
  const [failed] = eventsOf('attemptFailed');
  assert.equal(failed?.type === 'attemptFailed' && failed.answerStarted, true);
  assert.equal(servers[1].isAborted, true);
  answer.fail(new Error('the answer was cut'));
  await assert.rejects(received);
});

test('a failure answer does not win, and is sent only if the other attempt fails too', async (context) => {
  const { servers, received, answer, eventsOf } = await startRace(context);
  for (const [index, server] of servers.entries()) {
    await server.respond(500 + index, `server-${index}`);
    server.body.push('failed');
    server.body.end();
    await nextTurn();
    assert.equal(answer.started, false);
  }
  assert.equal(eventsOf('attemptFailed').length, 2);
  assert.equal(eventsOf('attemptFinished').length, 0);
  answer.fail(new Error('both attempts failed'));
  assert.deepEqual(await received, { status: 501, server: 'server-1', body: 'failed' });
});

// Guards against servers that keep working, and bytes that are written, after the caller has left.
test('when the caller leaves, both attempts are ended and report nothing', async (context) => {
  const { servers, runner, request, answer, eventsOf } = await startRace(context);
  await servers[0].respond(200, 'first');
  servers[0].body.push('half');
  request.destroy();
  runner.cancel('one.1');
  runner.cancel('one.2');
  servers[0].body.push('rest');
  servers[0].body.end();
  await nextTurn();
  assert.deepEqual(
    servers.map(({ isAborted }) => isAborted),
    [true, true],
  );
  assert.equal(answer.started, false);
  assert.deepEqual([...eventsOf('attemptFinished'), ...eventsOf('attemptFailed')], []);
});

async function runPendingInputTurns(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await nextTurn();
}

test('an attempt reports that its hedge is due, unless it has ended', async (context) => {
  const hedgeAfter = HEDGE_AFTER_MILLISECONDS;
  const running = await startRace(context, { hedgeAfter });
  running.timers.advance(hedgeAfter);
  await runPendingInputTurns();
  assert.deepEqual(running.eventsOf('hedgeDue'), [{ type: 'hedgeDue', attemptId: 'one.1' }]);
  const ended = await startRace(context, { hedgeAfter });
  await ended.servers[0].respond();
  ended.servers[0].body.end();
  await nextTurn();
  ended.timers.advance(hedgeAfter);
  await runPendingInputTurns();
  assert.deepEqual(ended.eventsOf('hedgeDue'), []);
});
