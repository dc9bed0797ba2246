/** The bytes of relayed answers on the caller's connection, for each way in which a body can end. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { HeaderLine, RelayBody } from '@hornbeampond/adapters';
import { RelayAnswer } from './RelayAnswer.js';

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const CHUNKED_EVENTS = EVENTS.map((event) => `${event.length.toString(16)}\r\n${event}\r\n`).join(
  '',
);
const EVENT_STREAM: HeaderLine = ['content-type', 'text/event-stream'];

type Answer = (answer: RelayAnswer, response: ServerResponse) => void | Promise<void>;

/** Connects to a server that answers each request with `respond`. */
async function connectTo(context: TestContext, respond: Answer): Promise<Socket> {
  const server = createServer({ keepAliveTimeout: 50 }, (_request, response) => {
    response.sendDate = false;
    void respond(new RelayAnswer('r', response, undefined as never, undefined), response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  context.after(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });
  return socket;
}

/** Sends a request and returns the head and the body, as sent, of what is received. */
async function receive(socket: Socket, request: string) {
  let text = '';
  let error: string | undefined;
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  socket.on('error', ({ code }: NodeJS.ErrnoException) => {
    error = code;
  });
  socket.write(request);
  await once(socket, 'close').catch(() => {});
  const end = text.indexOf('\r\n\r\n');
  return { head: text.slice(0, end), body: text.slice(end + 4), error };
}

function receiveHead(answer: RelayAnswer, headers: HeaderLine[] = [EVENT_STREAM], status = 200) {
  const body = undefined as unknown as RelayBody;
  answer.receiveHead({ status, headers, isStream: true, body });
}

async function writeEvents(answer: RelayAnswer): Promise<void> {
  receiveHead(answer);
  for (const event of EVENTS) {
    await answer.writeBytes(Buffer.from(event));
    await wait(2);
  }
}

async function writeAll(answer: RelayAnswer): Promise<void> {
  await writeEvents(answer);
  answer.finish();
}

const GET = 'GET / HTTP/1.1\r\nhost: e\r\n';

// Guards against a stream whose end the caller cannot see, or that is framed twice.
test('a stream is sent as one chunk for each part received, and ends with the last chunk', async (context) => {
  const socket = await connectTo(context, writeAll);
  const { head, body } = await receive(socket, `${GET}connection: close\r\n\r\n`);
  assert.match(head, /^Transfer-Encoding: chunked$/m);
  assert.equal(body, `${CHUNKED_EVENTS}0\r\n\r\n`);
});

// Guards against a connection whose second answer is read as a part of the first.
test('the connection of a complete stream serves the next request', async (context) => {
  const socket = await connectTo(context, writeAll);
  const { body } = await receive(socket, `${GET}\r\n${GET}connection: close\r\n\r\n`);
  const [first, second] = body.split('HTTP/1.1 200 OK');
  assert.equal(first, `${CHUNKED_EVENTS}0\r\n\r\n`);
  assert.equal(second?.slice(second.indexOf('\r\n\r\n') + 4), `${CHUNKED_EVENTS}0\r\n\r\n`);
});

// Guards against a truncated stream that looks complete.
test('an aborted stream has no last chunk', async (context) => {
  const socket = await connectTo(context, async (answer) => {
    await writeEvents(answer);
    answer.fail(new Error('lost'));
  });
  const { body } = await receive(socket, `${GET}\r\n`);
  assert.equal(body, CHUNKED_EVENTS);
});

// A body for an HTTP/1.0 caller ends with its connection. Guards against chunk sizes inside it.
test('a caller with HTTP/1.0 receives the events alone', async (context) => {
  const socket = await connectTo(context, writeAll);
  const { head, body, error } = await receive(socket, 'GET / HTTP/1.0\r\n\r\n');
  assert.doesNotMatch(head, /transfer-encoding/i);
  assert.deepEqual({ body, error }, { body: EVENTS.join(''), error: undefined });
});

// Guards against a truncated stream whose end looks like the end of a complete one.
test('an aborted stream to a caller with HTTP/1.0 ends by a reset', async (context) => {
  const socket = await connectTo(context, async (answer) => {
    await writeEvents(answer);
    answer.fail(new Error('lost'));
  });
  const { error } = await receive(socket, 'GET / HTTP/1.0\r\n\r\n');
  assert.equal(error, 'ECONNRESET');
});

// Guards against bytes of a body after a head that has none: the caller reads them as an answer.
test('answers without a body have none, also if they are streams', async (context) => {
  const socket = await connectTo(context, writeAll);
  const { body } = await receive(socket, 'HEAD / HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n');
  assert.equal(body, '');
  const other = await connectTo(context, (answer) => {
    receiveHead(answer, [], 204);
    answer.finish();
  });
  const noContent = await receive(other, `${GET}connection: close\r\n\r\n`);
  assert.match(noContent.head, /^HTTP\/1.1 204/);
  assert.equal(noContent.body, '');
});

// Guards against memory that fills up for a slow caller, and against a wait that outlasts it.
test('writing to a caller that does not read is held until it reads or leaves', async (context) => {
  const event = Buffer.from(`data: ${'x'.repeat(64 * 1024)}\n\n`);
  let written = 0;
  let hasEnded = false;
  const socket = await connectTo(context, async (answer) => {
    receiveHead(answer);
    for (; !answer.isClosed; written += 1) await answer.writeBytes(event);
    hasEnded = true;
  });
  socket.on('error', () => {});
  socket.write(`${GET}\r\n`);
  await wait(200);
  const held = written;
  await wait(50);
  assert.equal(written, held);
  socket.resume();
  await wait(50);
  assert.ok(written > held + 10, `${written - held} parts after the caller reads`);
  socket.pause();
  await wait(100);
  socket.destroy();
  await wait(50);
  assert.equal(hasEnded, true);
});

// Guards against a byte that is lost because it comes after the event that it belongs to was sent.
test('a line feed that comes after the CR of an event is sent', async (context) => {
  const socket = await connectTo(context, async (answer) => {
    receiveHead(answer);
    for (const part of ['id: 1\rdata: one\r\r', '\n']) {
      await answer.writeBytes(Buffer.from(part));
      await wait(2);
    }
    answer.finish();
  });
  const { body } = await receive(socket, `${GET}connection: close\r\n\r\n`);
  assert.equal(body, '11\r\nid: 1\rdata: one\r\r\r\n1\r\n\n\r\n0\r\n\r\n');
});
