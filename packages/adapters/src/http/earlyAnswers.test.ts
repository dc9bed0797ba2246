/** Servers that answer before they have read the request, as the adapters meet them that use `undici`. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, before, test, type TestContext } from 'node:test';
import { BackendServerFailure } from '../BackendServerFailure.js';
import { DirectConnector } from '../ServerConnector.js';
import { HttpEngineAdapter } from './HttpEngineAdapter.js';
import { HttpPlainServiceAdapter } from './HttpPlainServiceAdapter.js';

const HOST = '127.0.0.1';
const BODY = 'a whole answer';
const PART = BODY.slice(0, BODY.length / 2);
const CALL_MILLISECONDS = 5000;
const REPETITIONS = 8;
const HEAD_END = '\r\n\r\n';
const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n';

/** The operating system holds the smaller one as a whole while the server reads nothing. */
const uploadBytes = [600_000, 4_000_000];

/** Between a server's close of its side and its reset. */
const resetDelays = [0, 5, 60];

const wholeAnswers = {
  length: `${HEAD}content-length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `${HEAD}transfer-encoding: chunked\r\n\r\n5\r\na who\r\n9\r\nle answer\r\n0\r\n\r\n`,
};

interface Answering {
  /** Called once the head of the request has come. */
  onHead?(socket: Socket): void;
  /** Called once the request was read. */
  onRequest?(socket: Socket): void;
}

let server: Server;
let port: number;
let sockets: Set<Socket>;
let answering: Answering;
let arrivals: number;

function serve(socket: Socket): void {
  sockets.add(socket);
  socket.on('error', () => {});
  socket.on('end', () => socket.end());
  let bytes = '';
  let bodyLeft = 0;
  const readHead = () => {
    const headLength = bytes.indexOf(HEAD_END) + HEAD_END.length;
    if (headLength < HEAD_END.length) return;
    const [, length = 0] = /content-length: (\d+)/i.exec(bytes.slice(0, headLength)) ?? [];
    bodyLeft = Number(length);
    bytes = bytes.slice(headLength);
    arrivals += 1;
    answering.onHead?.(socket);
    if (bodyLeft === 0) answering.onRequest?.(socket);
  };
  const skipBody = () => {
    const skipped = Math.min(bodyLeft, bytes.length);
    if (skipped === 0) return;
    bodyLeft -= skipped;
    bytes = bytes.slice(skipped);
    if (bodyLeft === 0) answering.onRequest?.(socket);
  };
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.toString('latin1');
    // An early answer may be followed by the next request in one read with the end of its own.
    skipBody();
    if (bodyLeft === 0) readHead();
    skipBody();
  });
}

before(async () => {
  sockets = new Set();
  server = createServer({ allowHalfOpen: true, noDelay: true }, serve);
  server.listen(0, HOST);
  await once(server, 'listening');
  ({ port } = server.address() as AddressInfo);
});

after(() => {
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

function closeThenReset(milliseconds: number): Answering {
  return {
    onHead(socket) {
      socket.pause();
      socket.end(`${HEAD}\r\n${PART}`);
      setTimeout(() => socket.resetAndDestroy(), milliseconds);
    },
  };
}

interface Way {
  readonly name: string;
  readonly requiresNewConnection: boolean;
  readonly hasPath: boolean;
}

const ways: readonly Way[] = [
  { name: 'kept connections', requiresNewConnection: false, hasPath: false },
  { name: 'a new connection', requiresNewConnection: true, hasPath: false },
  { name: 'a path of the process', requiresNewConnection: false, hasPath: true },
];

type Outcome = string | BackendServerFailure;

type Send = (bytes: number) => Promise<string>;

function makeSend(context: TestContext, { requiresNewConnection, hasPath }: Way): Send {
  const path = { connector: new DirectConnector(), server: { instance: 'i-1', host: HOST, port } };
  const adapter = new HttpPlainServiceAdapter({ host: HOST, port, ...(hasPath ? { path } : {}) });
  context.after(async () => adapter.close());
  return async (bytes) => {
    const { body } = await adapter.send({
      method: bytes === 0 ? 'GET' : 'POST',
      path: '/upload',
      headers: {},
      body: Buffer.alloc(bytes, 'u'),
      requiresNewConnection,
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) chunks.push(chunk);
    return Buffer.concat(chunks).toString('latin1');
  };
}

/** Sends calls one after the other, of which each must reach the server once. */
async function sendAll(send: () => Promise<string>): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let call = 0; call < REPETITIONS; call += 1) {
    arrivals = 0;
    const outcome = await send().catch((error: unknown) => {
      assert.ok(error instanceof BackendServerFailure, String(error));
      return error;
    });
    outcomes.push(outcome);
    assert.equal(arrivals, 1);
  }
  return outcomes;
}

function checkFailed(outcomes: readonly Outcome[]): void {
  const given = outcomes.filter((outcome) => typeof outcome === 'string');
  assert.equal(given.length, 0, `${given.length} of ${outcomes.length} parts are given as whole`);
  outcomes.forEach((outcome) => assert.equal((outcome as BackendServerFailure).sent, 'maybe'));
}

function checkWhole(outcomes: readonly Outcome[]): void {
  outcomes.forEach((outcome) => assert.equal(outcome, BODY));
}

ways.forEach((way) => {
  uploadBytes.forEach((bytes) => {
    const name = `${bytes} bytes on ${way.name}`;

    // Guards against a part that is given as whole because its server closes before the request was sent.
    test(`an answer that ends before its request fails (${name})`, async (context) => {
      const send = makeSend(context, way);
      const outcomes: Outcome[] = [];
      for (const delay of resetDelays) {
        answering = closeThenReset(delay);
        outcomes.push(...(await sendAll(async () => send(bytes))));
      }
      checkFailed(outcomes);
    });

    // Guards against sound answers that are refused because they come before the request was sent.
    test(`an early answer that is framed is whole (${name})`, async (context) => {
      const send = makeSend(context, way);
      for (const answer of Object.values(wholeAnswers)) {
        answering = { onHead: (socket) => socket.write(answer) };
        checkWhole(await sendAll(async () => send(bytes)));
      }
    });

    // Guards against sound answers that are refused because they end with their connections.
    test(`an answer without a length that ends after its request is whole (${name})`, async (context) => {
      const send = makeSend(context, way);
      answering = { onRequest: (socket) => socket.end(`${HEAD}\r\n${BODY}`) };
      checkWhole(await sendAll(async () => send(bytes)));
      answering = {
        onHead: (socket) => socket.write(`${HEAD}\r\n${PART}`),
        onRequest: (socket) => socket.end(BODY.slice(PART.length)),
      };
      checkWhole(await sendAll(async () => send(bytes)));
    });
  });

  // Guards against sound answers that are refused because their requests have no body to be sent.
  test(`an answer without a length to a GET is whole on ${way.name}`, async (context) => {
    const send = makeSend(context, way);
    answering = { onRequest: (socket) => socket.end(`${HEAD}\r\n${BODY}`) };
    checkWhole(await sendAll(async () => send(0)));
  });
});

uploadBytes.forEach((bytes) => {
  // Guards against a cache that counts as imported although its engine has not read all of it.
  test(`an import fails whose answer ends before its request (${bytes} bytes)`, async (context) => {
    const adapter = new HttpEngineAdapter({ host: HOST, port });
    context.after(async () => adapter.close());
    const cache = { attemptId: 'a', tokens: 1, bytes: Buffer.alloc(bytes) };
    const send = async () => {
      await adapter.importCache(cache, AbortSignal.timeout(CALL_MILLISECONDS));
      return 'imported';
    };
    const outcomes: Outcome[] = [];
    for (const delay of resetDelays) {
      answering = closeThenReset(delay);
      outcomes.push(...(await sendAll(send)));
    }
    checkFailed(outcomes);
  });
});
