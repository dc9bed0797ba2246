/** Which answers of backend servers reach the caller, and as what. */
import assert from 'node:assert/strict';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'node:test';
import {
  BackendServerFailure,
  RelayBody,
  type BodyEnd,
  type RelayResponse,
} from '@hornbeampond/adapters';
import { CallProtocol, type ParsedCall } from './CallProtocol.js';
import { RelayAnswer } from './RelayAnswer.js';
import { relayBody } from './relayBody.js';

const PROMISING_STATUSES = [408, 421, 429, 503];
const OWN_STATUS = 502;

/** More than an answer buffers before it is sent. */
const LARGE_BODY = Buffer.alloc(300 * 1024, 'x');

class PromisingProtocol extends CallProtocol {
  override parseCall(): ParsedCall {
    throw new TypeError('this test parses no calls');
  }

  override promisesNotRun(status: number): boolean {
    return PROMISING_STATUSES.includes(status);
  }

  override writeProblem(response: ServerResponse): void {
    response.setHeader('x-origin', 'entry').writeHead(OWN_STATUS).end();
  }
}

class WholeBody extends RelayBody {
  constructor(private readonly bytes: Uint8Array) {
    super();
  }

  override async forEach(
    receive: (chunk: Uint8Array) => Promise<void> | undefined,
  ): Promise<BodyEnd> {
    await receive(this.bytes);
    return { shownBy: 'framing' };
  }
}

const callbacks = {
  isCancelled: () => false,
  onBytesReceived() {},
  onBytesWritten() {},
  requireWhole: async () => Promise.resolve(),
};

function makeAnswer() {
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  return { response, answer: new RelayAnswer('one', response, new PromisingProtocol(), undefined) };
}

function makeResponse(status: number, bytes: Uint8Array, isStream = false): RelayResponse {
  return { status, headers: [['x-origin', 'server']], isStream, body: new WholeBody(bytes) };
}

/** Relays the answer; the call then fails, as there is nowhere else to send it. */
async function relayAndFail(answer: RelayAnswer, relayed: RelayResponse): Promise<unknown> {
  const failure: unknown = await relayBody(relayed, answer, answer, callbacks).catch(
    (error: unknown) => error,
  );
  answer.fail(failure);
  return failure;
}

// Guards against callers who are told "not run" by the status of a backend server that has run their
// request, and send it again.
test('a status that promises that the call was not run is never passed on', async () => {
  for (const status of PROMISING_STATUSES) {
    for (const [bytes, isStream] of [
      [Buffer.from('ran'), false],
      [LARGE_BODY, false],
      [Buffer.from('id: 1\ndata: ran\n\n'), true],
    ] as const) {
      const { answer, response } = makeAnswer();
      const failure = await relayAndFail(answer, makeResponse(status, bytes, isStream));
      assert.ok(failure instanceof BackendServerFailure);
      assert.deepEqual([failure.failure, failure.sent], ['serverError', 'maybe']);
      assert.deepEqual(failure.response, { status });
      assert.equal(response.statusCode, OWN_STATUS);
      assert.equal(response.getHeader('x-origin'), 'entry');
    }
  }
});

// Guards against failures of a backend server that lose their status although it promises nothing.
test('a failure that promises nothing reaches the caller as the backend server gave it', async () => {
  const { answer, response } = makeAnswer();
  await relayAndFail(answer, makeResponse(500, Buffer.from('failed')));
  assert.equal(response.statusCode, 500);
  const { answer: other, response: otherResponse } = makeAnswer();
  await relayBody(makeResponse(404, Buffer.from('none')), other, other, callbacks);
  other.finish();
  assert.equal(otherResponse.statusCode, 404);
});

// Guards against a first server's failure that is given with a promise after a second one was sent the call.
test('after a saved failure, a promising status of another attempt changes nothing', async () => {
  const { answer, response } = makeAnswer();
  const first = relayBody(makeResponse(500, Buffer.from('failed')), answer, answer, callbacks);
  await assert.rejects(first, { failure: 'serverError' });
  await relayAndFail(answer, makeResponse(503, Buffer.from('ran')));
  assert.equal(response.statusCode, 500);
});
