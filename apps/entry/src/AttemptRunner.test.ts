import assert from 'node:assert/strict';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { RelayAdapter, RelayBody, type BodyEnd, type RelayResponse } from '@hornbeampond/adapters';
import type { EntryEventPayload } from '@hornbeampond/entry-core';
import { TimerService } from '@hornbeampond/runtime';
import { AdapterDirectory } from './AdapterDirectory.js';
import { AttemptRunner, type StartAttemptEffect } from './AttemptRunner.js';
import { CallProtocol, type ParsedCall } from './CallProtocol.js';
import { RelayAnswer } from './RelayAnswer.js';
import { StopOrders } from './StopOrders.js';

/** Timers that the test fires itself. */
class ManuallyFiredTimers extends TimerService {
  readonly listeners: (() => void)[] = [];

  monotonicNow(): number {
    return 0;
  }

  wallNow(): number {
    return 0;
  }

  after(_delay: number, listener: () => void): () => void {
    this.listeners.push(listener);
    return () => {
      this.listeners.splice(this.listeners.indexOf(listener), 1);
    };
  }
}

/** A backend server that answers when the test calls `respond`. */
class ManuallyAnsweredAdapter extends RelayAdapter {
  respond: (response: RelayResponse) => void = () => {};

  sentCount = 0;

  abortedCount = 0;

  override async send({ signal }: { signal: AbortSignal }): Promise<RelayResponse> {
    this.sentCount += 1;
    return new Promise((resolve, reject) => {
      this.respond = resolve;
      signal.addEventListener('abort', () => {
        this.abortedCount += 1;
        reject(new Error('aborted'));
      });
    });
  }

  override async moveCache(): Promise<string> {
    return '';
  }

  override async probe(): Promise<Record<string, never>> {
    return {};
  }

  override renewConnections(): void {}

  override async close(): Promise<void> {
    this.respond = () => {};
  }
}

class UnusedProtocol extends CallProtocol {
  override parseCall(): ParsedCall {
    throw new TypeError('this test parses no calls');
  }

  override promisesNotRun(): boolean {
    return false;
  }

  override writeProblem(): void {}
}

const startEffect: StartAttemptEffect = {
  type: 'startAttempt',
  requestId: 'one',
  attemptId: 'one.1',
  target: { instance: 'i-1', kind: 'plainService', host: '192.0.2.1', port: 1 },
  workspace: 'laden',
  timeLeft: 1000,
  resumeFromTokens: 0,
  priority: 0,
  sendOnce: false,
  firstByteTimeout: 500,
  streamIdleTimeout: 500,
};

function makeRunner({ hasCallerLeft = false } = {}) {
  const timers = new ManuallyFiredTimers();
  const adapter = new ManuallyAnsweredAdapter();
  const events: EntryEventPayload[] = [];
  const socket = new Socket();
  const response = new ServerResponse(new IncomingMessage(socket));
  if (hasCallerLeft) socket.destroy();
  const answer = new RelayAnswer('one', response, new UnusedProtocol(), undefined);
  const runner = new AttemptRunner({
    stopOrders: new StopOrders(),
    findMovedCache: () => undefined,
    mayHaveEnded: () => false,
    timers,
    adapters: new AdapterDirectory(
      () => ({ kind: 'relay', adapter }),
      () => {},
    ),
    findExchange: () => ({
      request: {
        requestId: 'one',
        workspace: '',
        method: 'GET',
        path: '/',
        digest: 'd',
        prefixDigests: [],
        promptTokens: 0,
        maxTokens: 0,
      },
      headers: {},
      forwardedHeaders: [],
      body: Buffer.alloc(0),
      completion: undefined,
      answer,
    }),
    dispatch: (payload) => events.push(payload),
    onCallerLeft: () => runner.cancel(startEffect.attemptId),
  });
  runner.start(startEffect);
  return { timers, adapter, events, runner };
}

// Guards against requests that are sent to backend servers after their callers have left.
test('an attempt whose caller has left is not sent', async () => {
  const { adapter, events } = makeRunner({ hasCallerLeft: true });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  assert.equal(adapter.sentCount, 0);
  assert.deepEqual(events, []);
});

class SingleChunkBody extends RelayBody {
  override async forEach(
    receive: (chunk: Uint8Array) => Promise<void> | undefined,
  ): Promise<BodyEnd> {
    await receive(Buffer.from('bought'));
    return { shownBy: 'framing' };
  }
}

async function runEventLoopTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await nextTurn();
}

// In a busy process, the timeout fires before an answer that arrived in time has been read. Discarding
// the answer would make the backend server compute it again.
test('an answer that is pending when the timeout fires is relayed', async () => {
  const { timers, adapter, events } = makeRunner();
  timers.listeners.forEach((fire) => fire());
  setImmediate(() =>
    adapter.respond({ status: 200, headers: [], isStream: false, body: new SingleChunkBody() }),
  );
  await runEventLoopTurns(20);
  const types = events.map(({ type }) => type);
  assert.ok(types.includes('attemptFinished'), types.join());
  assert.equal(types.includes('attemptFailed'), false);
});

test('an attempt without an answer fails as silent when the timeout fires', async () => {
  const { timers, events } = makeRunner();
  timers.listeners.forEach((fire) => fire());
  await runEventLoopTurns(20);
  assert.deepEqual(
    events.map((event) => event.type === 'attemptFailed' && event.failure),
    ['silent'],
  );
});

// Guards against a backend server that goes on with a call after its caller has left, because the
// cancelled attempt of an earlier call with the same id ended in the meantime.
test('an attempt can be cancelled after an earlier one with its id has ended', async () => {
  const { adapter, runner } = makeRunner();
  runner.cancel(startEffect.attemptId);
  runner.start(startEffect);
  await runEventLoopTurns(2);
  assert.equal(runner.runningCount, 1);
  runner.cancel(startEffect.attemptId);
  await runEventLoopTurns(2);
  assert.equal(adapter.abortedCount, 2);
  assert.equal(runner.runningCount, 0);
});
