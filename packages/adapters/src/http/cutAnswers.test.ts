/**
 * Servers that stop in the middle of an answer and close or reset the connection, as the adapters meet them
 * that speak HTTP through `undici`.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { BackendServerFailure } from '../BackendServerFailure.js';
import { HttpEngineAdapter } from './HttpEngineAdapter.js';
import { HttpPlainServiceAdapter } from './HttpPlainServiceAdapter.js';

const HOST = '127.0.0.1';
const BODY = 'a whole answer';
const CALL_MILLISECONDS = 5000;
const PAUSE_MILLISECONDS = 2;
const CALLS_AT_ONCE = 16;

type End = 'close' | 'reset' | 'resetLater';

interface Plan {
  readonly bytes: string;
  readonly end: End;
}

let server: Server;
let port: number;
let sockets: Set<Socket>;

/** What the server answers, by the path of the call. */
let plans: Map<string, Plan>;

/** Calls that have reached the server, by their paths. */
let arrivals: string[];

let callsAfterEnd: number;

function answer(socket: Socket, { bytes, end }: Plan): void {
  socket.write(bytes, 'latin1', () => {
    if (end === 'close') socket.end();
    else if (end === 'reset') socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), PAUSE_MILLISECONDS);
  });
}

function serve(socket: Socket): void {
  let isEnded = false;
  sockets.add(socket);
  socket.on('error', () => {});
  socket.on('end', () => socket.end());
  socket.on('data', (chunk: Buffer) => {
    const [, path = ''] = /^(?:GET|POST) (\S+) HTTP/.exec(chunk.toString('latin1')) ?? [];
    if (isEnded) callsAfterEnd += 1;
    if (path === '') return;
    arrivals.push(path);
    const plan = plans.get(path);
    if (plan === undefined) {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`);
      return;
    }
    isEnded = true;
    answer(socket, plan);
  });
}

before(async () => {
  sockets = new Set();
  plans = new Map();
  arrivals = [];
  callsAfterEnd = 0;
  server = createServer({ allowHalfOpen: true, noDelay: true }, serve);
  server.listen(0, HOST);
  await once(server, 'listening');
  ({ port } = server.address() as AddressInfo);
});

after(() => {
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

const interim = 'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\ncontent-length: 0\r\n\r\n';

function makeHead(framing: string, isKept: boolean): string {
  const connection = isKept ? '' : 'connection: close\r\n';
  return `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n${connection}${framing}\r\n`;
}

/** All but the last two are to fail at each of their bytes, in whichever way their connection ends. */
const answers: Readonly<Record<string, string>> = {
  length: `${makeHead(`content-length: ${BODY.length}\r\n`, true)}${BODY}`,
  'length, then closed': `${makeHead(`content-length: ${BODY.length}\r\n`, false)}${BODY}`,
  chunks: `${makeHead('transfer-encoding: chunked\r\n', true)}5\r\na who\r\n9\r\nle answer\r\n0\r\nx-end: 1\r\n\r\n`,
  'chunks, then closed': `${makeHead('transfer-encoding: chunked\r\n', false)}5\r\na who\r\n9\r\nle answer\r\n0\r\n\r\n`,
  empty: makeHead('content-length: 0\r\n', true),
  'empty after an interim head': interim + makeHead('content-length: 0\r\n', true),
  'chunks after an interim head': `${interim}${makeHead('transfer-encoding: chunked\r\n', false)}e\r\n${BODY}\r\n0\r\n\r\n`,
};

const untilClose = makeHead('', false) + BODY;

const ends: readonly End[] = ['close', 'reset', 'resetLater'];

function makePlans(bytes: string, from: number, to: number, played: readonly End[]): Plan[] {
  return Array.from({ length: to - from }, (_, index) => from + index).flatMap((position) =>
    played.map((end) => ({ bytes: bytes.slice(0, position), end })),
  );
}

type Send = (path: string) => Promise<string>;

function sendBy(adapter: HttpPlainServiceAdapter, requiresNewConnection: boolean): Send {
  return async (path) => {
    const { body } = await adapter.send({
      method: 'POST',
      path,
      headers: {},
      body: Buffer.from('{}'),
      requiresNewConnection,
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) chunks.push(chunk);
    return Buffer.concat(chunks).toString('latin1');
  };
}

let pathCount = 0;

/** Returns what the caller got, which is either a text or a failure; the server must have been called once. */
async function play(send: Send, plan: Plan): Promise<string | BackendServerFailure> {
  pathCount += 1;
  const path = `/call-${pathCount}`;
  plans.set(path, plan);
  const outcome = await send(path).catch((error: unknown) => {
    assert.ok(error instanceof BackendServerFailure, String(error));
    return error;
  });
  assert.equal(arrivals.filter((arrived) => arrived === path).length, 1);
  return outcome;
}

async function playAll(send: Send, toPlay: readonly Plan[]): Promise<void> {
  const remaining = [...toPlay];
  const work = async () => {
    for (let plan = remaining.shift(); plan !== undefined; plan = remaining.shift()) {
      const outcome = await play(send, plan);
      const seen = `${JSON.stringify(plan)}: ${String(outcome)}`;
      assert.ok(outcome instanceof BackendServerFailure, seen);
      assert.equal(outcome.sent, 'maybe', seen);
      assert.ok(['connectionLost', 'malformed'].includes(outcome.failure), seen);
    }
  };
  await Promise.all(Array.from({ length: CALLS_AT_ONCE }, work));
}

[true, false].forEach((requiresNewConnection) => {
  const kind = requiresNewConnection ? 'a new connection' : 'kept connections';

  Object.entries(answers).forEach(([name, bytes]) => {
    // Guards against a part of an answer that is given as whole, and against a call that is sent twice.
    test(`an answer that is cut at any byte fails on ${kind} (${name})`, async (context) => {
      const adapter = new HttpPlainServiceAdapter({ host: HOST, port });
      context.after(async () => adapter.close());
      const send = sendBy(adapter, requiresNewConnection);
      assert.equal(await send('/whole'), BODY);
      const cut = makePlans(bytes, 0, bytes.length, ends);
      await playAll(send, cut);
      context.diagnostic(`${cut.length} calls`);
      assert.equal(callsAfterEnd, 0);
    });
  });

  // Guards against a reset that is taken for the end of a body which ends with its connection.
  test(`an answer without a length is whole only if closed on ${kind}`, async (context) => {
    const adapter = new HttpPlainServiceAdapter({ host: HOST, port });
    context.after(async () => adapter.close());
    const send = sendBy(adapter, requiresNewConnection);
    const headLength = untilClose.length - BODY.length;
    await playAll(send, makePlans(untilClose, 0, headLength, ends));
    const resets = makePlans(untilClose, headLength, untilClose.length + 1, [
      'reset',
      'resetLater',
    ]);
    await playAll(send, resets);
    for (let call = 0; call < CALLS_AT_ONCE; call += 1) {
      assert.equal(await play(send, { bytes: untilClose, end: 'close' }), BODY);
    }
    assert.equal(callsAfterEnd, 0);
  });
});

const engineHead = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';
const tokens = ['one', 'two'].map(
  (content) => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`,
);
const finish = `data: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: 'stop' }] })}\n\n`;
const events = `${[...tokens, finish].join('')}data: [DONE]\n`;

const engineAnswers: Readonly<Record<string, string>> = {
  'until close': `${engineHead}connection: close\r\n\r\n${events}`,
  length: `${engineHead}content-length: ${events.length}\r\n\r\n${events}`,
  chunks: `${engineHead}transfer-encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}`,
};

Object.entries(engineAnswers).forEach(([name, bytes]) => {
  // Guards against half a completion that ends as if it were whole. All that is needed of it ends with `[DONE]`.
  test(`a completion that is cut before its end fails (${name})`, async (context) => {
    const path = '/v1/chat/completions';
    const adapter = new HttpEngineAdapter({ host: HOST, port });
    context.after(async () => adapter.close());
    for (const plan of makePlans(bytes, 0, bytes.length, ends)) {
      plans.set(path, plan);
      const calls = arrivals.length;
      const signal = AbortSignal.timeout(CALL_MILLISECONDS);
      const read = async () => {
        const start = { attemptId: 'a', priority: 0, body: { messages: [] }, signal };
        const types: string[] = [];
        for await (const { type } of await adapter.startCompletion(start)) types.push(type);
        return types;
      };
      await assert.rejects(read, { sent: 'maybe' }, JSON.stringify(plan));
      assert.equal(arrivals.length, calls + 1);
    }
    assert.equal(callsAfterEnd, 0);
  });
});
