/** Callers that send ahead, stop or never finish, at a server of this process. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { SystemTimerService } from '@hornbeampond/runtime';
import type { CallerCloseReason, HornbeampondError } from '@hornbeampond/schema';
import { CONNECTION_HEAP_BYTES } from './heldCosts.js';
import { HttpConnections } from './HttpConnections.js';
import type { TrackedResponse } from './TrackedResponse.js';

const MEBIBYTE = 1024 * 1024;

const bounds = {
  headerBytes: 2048,
  bodyBytes: MEBIBYTE,
  headerMilliseconds: 300,
  idleMilliseconds: 300,
};

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** A server that answers when it is told to. */
class TestServer {
  readonly responses: TrackedResponse[] = [];

  readonly refusals: string[] = [];

  readonly closes: CallerCloseReason[] = [];

  onRequest: (request: IncomingMessage) => void = () => {};

  private readonly connections: HttpConnections;

  private readonly server: Server;

  constructor(connections = 100, heap = 16 * MEBIBYTE) {
    this.connections = new HttpConnections({
      timers: new SystemTimerService(),
      limits: { connections, held: { heap, buffers: 256 * MEBIBYTE } },
      readBounds: () => bounds,
      onRefused: ({ kind }: HornbeampondError) => this.refusals.push(kind),
      onClosing: (reason) => this.closes.push(reason),
    });
    this.server = this.connections.createServer({}, (request, response) => {
      request.resume();
      this.responses.push(response);
      this.onRequest(request);
    });
  }

  static async start(context: TestContext, connections?: number, heap?: number) {
    const server = new TestServer(connections, heap);
    await server.listen();
    context.after(() => server.close());
    return server;
  }

  get held(): number {
    return this.connections.memory.total.heap;
  }

  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  connect(): Socket {
    const socket = connect((this.server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => {});
    return socket;
  }

  private async listen(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
  }

  private close(): void {
    this.connections.close();
    this.server.closeAllConnections();
    this.server.close();
  }
}

async function until(isReached: () => boolean): Promise<void> {
  while (!isReached()) await wait(5);
}

async function readAll(socket: Socket): Promise<string> {
  let received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  await once(socket, 'close');
  return received;
}

// Guards against a process that begins each request that a caller has sent ahead.
test('requests sent ahead begin while few of them wait for their answers', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  const sent = 1000;
  socket.write(REQUEST.repeat(sent));
  await until(() => server.responses.length > 0);
  await wait(100);
  assert.ok(server.responses.length < 200, `${server.responses.length} have begun`);
  let received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  for (let answered = 0; answered < sent; answered += 1) {
    await until(() => server.responses.length > answered);
    server.responses[answered]?.end('done');
  }
  await until(() => received.split('HTTP/1.1 200').length - 1 === sent);
  assert.equal(server.responses.length, sent);
});

// Guards against a process that ends because Node's parser gets input while Node has paused the connection.
test('large answers to requests sent ahead are read slowly and all come', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  const sent = 400;
  const answer = Buffer.alloc(300 * 1024, 'a');
  let receivedBytes = 0;
  socket.on('data', ({ length }: Buffer) => {
    receivedBytes += length;
    socket.pause();
    setTimeout(() => socket.resume(), 1);
  });
  socket.write(REQUEST.repeat(sent));
  for (let answered = 0; answered < sent; answered += 1) {
    await until(() => server.responses.length > answered);
    const response = server.responses[answered];
    setTimeout(() => response?.end(answer), 5);
  }
  await until(() => receivedBytes > sent * answer.length);
  assert.equal(server.responses.length, sent);
});

// Guards against requests whose callers have left, and which nobody ends.
test('all requests end with their connection, also those that wait behind others', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  socket.write(REQUEST.repeat(5));
  await until(() => server.responses.length === 5);
  let closed = 0;
  server.responses.forEach((response) =>
    response.once('close', () => {
      closed += 1;
    }),
  );
  socket.destroy();
  await until(() => closed === 5);
  await wait(20);
  assert.deepEqual([closed, server.held], [5, 0]);
  assert.ok(server.responses.every(({ destroyed }) => destroyed));
});

const endless = {
  'a head over the limit': `GET / HTTP/1.1\r\nX: ${'a'.repeat(8000)}`,
  'empty lines without end': '\r\n'.repeat(4000),
};

Object.entries(endless).forEach(([name, input]) => {
  // Guards against input that the parser skips or gathers without a limit.
  test(`${name} is refused, and the connection closed by the server`, async (context) => {
    const server = await TestServer.start(context);
    const socket = server.connect();
    socket.write(input);
    assert.match(await readAll(socket), /^HTTP\/1.1 431 /);
    assert.deepEqual(server.refusals, ['headersTooLarge']);
  });
});

// Guards against a refused caller that keeps its place because it never closes its half.
test('a refused caller that does not leave is closed', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  socket.write('no request\r\n\r\n');
  socket.pause();
  await until(() => server.refusals.length === 1 && server.held === 0);
  assert.deepEqual(server.refusals, ['badRequest']);
});

const slow = {
  'a head that stops': { input: 'GET / HTTP/1.1\r\nHo', answer: /^HTTP\/1.1 400 / },
  'a body that stops': {
    input: 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n1234',
    answer: /^HTTP\/1.1 408 [^]*"ran":"no"/,
  },
  'nothing but empty lines': { input: '\r\n\r\n', answer: /^$/ },
  'nothing at all': { input: '', answer: /^$/ },
};

Object.entries(slow).forEach(([name, { input, answer }]) => {
  // Guards against places that are held by callers that do not go on.
  test(`the connection of a caller that sends ${name} is closed`, async (context) => {
    const server = await TestServer.start(context);
    const socket = server.connect();
    if (input !== '') socket.write(input);
    assert.match(await readAll(socket), answer);
    await until(() => server.held === 0);
  });
});

// Guards against a caller that is blamed for the time in which its input was not read.
test('a head that waits behind unanswered requests has its time afterwards', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  const sent = 100;
  socket.write(REQUEST.repeat(sent));
  await wait(2 * bounds.headerMilliseconds + 1500);
  socket.resume();
  for (let answered = 0; answered < sent; answered += 1) {
    await until(() => server.responses.length > answered);
    server.responses[answered]?.end('done');
  }
  assert.deepEqual(server.refusals, []);
  assert.equal(socket.destroyed, false);
});

// Guards against a crowd that uses up the descriptors which the process needs for other work.
test('the connection that is idle for longest makes room for a new one', async (context) => {
  const server = await TestServer.start(context, 3);
  const sockets = [server.connect(), server.connect(), server.connect()];
  await Promise.all(sockets.map(async (socket) => once(socket, 'connect')));
  const [busy] = sockets;
  busy?.write(REQUEST);
  await until(() => server.responses.length === 1);
  const next = server.connect();
  next.write(REQUEST);
  await until(() => server.responses.length === 2);
  assert.deepEqual(server.closes, ['tooManyConnections']);
  assert.equal(busy?.destroyed, false);
});

// Guards against requests that are begun without room for them.
test('a request for which there is no room carries its refusal', async (context) => {
  const server = await TestServer.start(context, 100, 100 * 1024);
  const sockets = Array.from({ length: 8 }, () => server.connect());
  await until(() => server.held === sockets.length * CONNECTION_HEAP_BYTES);
  sockets.forEach((socket) => socket.write(REQUEST));
  await until(() => server.responses.length === sockets.length);
  const refused = server.responses.filter(({ refusal }) => refusal !== undefined);
  assert.deepEqual([server.responses.length, refused.length], [8, 6]);
  assert.ok(refused.every(({ refusal }) => refusal?.kind === 'overloaded'));
  refused.forEach((response) => response.writeHead(503, { connection: 'close' }).end());
  await until(() => server.held <= 100 * 1024);
});

function spend(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt);
}

// Guards against a shutdown that closes a kept connection whose next request has been read from it.
test('a connection whose input waits for its turn does not count as idle', async (context) => {
  const server = await TestServer.start(context);
  const kept = server.connect();
  kept.write(REQUEST);
  await until(() => server.responses.length === 1);
  server.responses[0]?.end('done');
  await once(kept, 'data');
  const busy = server.connect();
  await once(busy, 'connect');
  await wait(20);
  server.onRequest = () => {
    server.onRequest = () => {};
    // Sent while the process is busy, so that it reads both in one turn of its event loop.
    spend(30);
    setImmediate(() => server.closeIdleConnections());
  };
  busy.write(REQUEST);
  kept.write(REQUEST);
  await until(() => server.responses.length === 3 || kept.destroyed);
  assert.equal(server.responses.length, 3);
});

// Guards against requests that go on for a caller which has sent more ahead and has closed its connection.
test('a caller that leaves with requests sent ahead is noticed before they are answered', async (context) => {
  const server = await TestServer.start(context);
  const socket = server.connect();
  const sent = 200;
  socket.write(REQUEST.repeat(sent));
  await until(() => server.responses.length > 0);
  await wait(50);
  const begun = server.responses.length;
  assert.ok(begun < sent);
  socket.destroy();
  await wait(500);
  const open = server.responses.filter(({ destroyed }) => !destroyed).length;
  assert.equal(open, 0, `${open} of ${begun} requests go on after their caller has left`);
});

// Guards against a request that is dropped, though its input has come, because it waits for its turn.
test('a connection whose input waits for its turn makes no room for a new one', async (context) => {
  const busyCount = 10;
  const server = await TestServer.start(context, busyCount + 1);
  const kept = server.connect();
  kept.write(REQUEST);
  await until(() => server.responses.length === 1);
  server.responses[0]?.end('done');
  await once(kept, 'data');
  const busy = Array.from({ length: busyCount }, () => server.connect());
  await Promise.all(busy.map(async (socket) => once(socket, 'connect')));
  await wait(50);
  server.onRequest = () => spend(15);
  busy.forEach((socket) => socket.write(REQUEST));
  kept.write(REQUEST);
  await until(() => server.responses.length > 2);
  server.connect();
  await until(() => server.responses.length === busyCount + 2 || kept.destroyed);
  assert.equal(kept.destroyed, false);
});
