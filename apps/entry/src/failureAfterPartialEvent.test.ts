/** What an attempt reports whose server answers with a failure after an earlier attempt was cut inside an event. */
import assert from 'node:assert/strict';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'node:test';
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

/** A body of one chunk, which is cut after it if there is a failure. */
class ShortBody extends RelayBody {
  constructor(
    private readonly text: string,
    private readonly failure?: Error,
  ) {
    super();
  }

  override async forEach(
    receive: (chunk: Uint8Array) => Promise<void> | undefined,
  ): Promise<BodyEnd> {
    await receive(Buffer.from(this.text));
    if (this.failure !== undefined) throw this.failure;
    return { shownBy: 'framing' };
  }
}

class ShortServer extends RelayAdapter {
  constructor(private readonly response: RelayResponse) {
    super();
  }

  override async send(): Promise<RelayResponse> {
    return this.response;
  }

  override async moveCache(): Promise<string> {
    return '';
  }

  override async probe(): Promise<Record<string, never>> {
    return {};
  }

  override renewConnections(): void {}

  override async close(): Promise<void> {
    await nextTurn();
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

function makeEffect(number: number): StartAttemptEffect {
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
  };
}

// Guards against a failure answer of a server that is taken for a cut stream: the server is then suspected
// to have crashed, and the caller does not get the answer.
test('a failure answer is whole whatever an earlier attempt has left of its stream', async () => {
  const cut = new BackendServerFailure('reset', { failure: 'connectionLost' });
  const stream = {
    status: 200,
    headers: [],
    isStream: true,
    body: new ShortBody('id: 1\nda', cut),
  };
  const failure = { status: 500, headers: [], isStream: false, body: new ShortBody('failed') };
  const servers = [new ShortServer(stream), new ShortServer(failure)] as const;
  const events: EntryEventPayload[] = [];
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  const answer = new RelayAnswer('one', response, new UnusedProtocol(), undefined);
  const request = { requestId: 'one', method: 'GET', path: '/' };
  const exchange = { request, forwardedHeaders: [], body: Buffer.alloc(0), answer };
  const runner = new AttemptRunner({
    stopOrders: new StopOrders(),
    findMovedCache: () => undefined,
    mayHaveEnded: () => false,
    timers: new ManualTimerService(),
    adapters: new AdapterDirectory(
      ({ instance }) => ({ kind: 'relay', adapter: servers[instance === 'server-1' ? 0 : 1] }),
      () => {},
    ),
    findExchange: () => exchange as never,
    dispatch: (event) => events.push(event),
    onCallerLeft: () => {},
  });
  runner.start(makeEffect(1));
  await nextTurn();
  runner.start(makeEffect(2));
  await nextTurn();
  const failures = events.flatMap((event) =>
    event.type === 'attemptFailed' ? [[event.failure, event.incomplete]] : [],
  );
  assert.deepEqual(failures, [
    ['connectionLost', undefined],
    ['serverError', undefined],
  ]);
  assert.equal(answer.backendServerStatus, 500);
});
