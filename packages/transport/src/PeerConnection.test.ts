import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { Logger } from '@hornbeampond/runtime';
import { ManualTimerService } from '@hornbeampond/testing';
import { encodeFrame, FrameDecoder, FrameTooLargeError } from './FrameCodec.js';
import { PeerClient, PeerRequestError, type PeerClientHandlers } from './PeerClient.js';
import type { PeerContext } from './PeerConnection.js';
import { PeerServer, type PeerServerHandlers } from './PeerServer.js';

const HOST = '127.0.0.1';
/** A failure that leaves a test waiting ends it here; nothing that is tested takes real time. */
const testOptions = { timeout: 10_000 } as const;
const SECRET = 'a secret of the cluster';

/** The events that one process has logged; a test can wait for one. */
class LogRecord {
  readonly events: string[] = [];

  private readonly waiting = new Map<string, () => void>();

  readonly logger = new Logger({ process: 'test', instance: 'test' }, 'debug', (line) => {
    const { event } = JSON.parse(line) as { readonly event: string };
    this.events.push(event);
    this.waiting.get(event)?.();
  });

  async waitFor(event: string): Promise<void> {
    if (this.events.includes(event)) return;
    await new Promise<void>((resolve) => {
      this.waiting.set(event, resolve);
    });
  }
}

interface ContextOverrides {
  readonly cluster?: string;
  readonly secret?: string;
}

/** What one process brings to its connections, with time that moves only when told to. */
function makeContext(instance: string, overrides: ContextOverrides = {}) {
  const timers = new ManualTimerService();
  const log = new LogRecord();
  const { cluster = 'test', secret = SECRET } = overrides;
  const identity = { cluster, instance, dataCentre: 'a', role: 'entry' } as const;
  const context: PeerContext = { identity, secret, timers, logger: log.logger };
  return { context, timers, log };
}

async function startServer(context: TestContext, handlers: PeerServerHandlers = {}) {
  const process = makeContext('server');
  const server = new PeerServer(process.context, handlers);
  const port = await server.listen({ host: HOST, port: 0 });
  context.after(async () => server.close());
  return { ...process, port };
}

/** A client, with promises of its opening and closing. */
function startClient(context: TestContext, port: number, overrides: ContextOverrides = {}) {
  const process = makeContext('client', overrides);
  const handlers: PeerClientHandlers = {};
  const opened = new Promise<string>((resolve) => {
    handlers.onOpen = (peer) => resolve(peer.instance);
  });
  const closed = new Promise<void>((resolve) => {
    handlers.onClose = resolve;
  });
  const client = new PeerClient({ host: HOST, port }, process.context, handlers);
  context.after(() => client.close());
  return { ...process, client, opened, closed };
}

/** Asserts that a request fails, and returns what is known of it. */
async function expectFailure(request: Promise<unknown>): Promise<PeerRequestError> {
  const failure = await request.then(
    () => undefined,
    (error: unknown) => error,
  );
  assert.ok(failure instanceof PeerRequestError, 'the request did not fail');
  return failure;
}

test('a request is answered over an authenticated connection', testOptions, async (context) => {
  const server = await startServer(context, {
    onRequest: (session, body, respond) => respond({ from: session.peer.instance, body }),
  });
  const { client, opened } = startClient(context, server.port);
  assert.equal(await opened, 'server');
  assert.deepEqual(await client.request({ question: 1 }, 1000), {
    from: 'client',
    body: { question: 1 },
  });
});

// An operator mixes up two clusters, or a secret. Were the stranger let in, it could push tables and
// drains of another deployment. It is refused before any message of a user is taken.
[{ cluster: 'other' }, { secret: 'some other secret' }].forEach((overrides) => {
  test(
    `a peer with another ${Object.keys(overrides)[0]} is refused`,
    testOptions,
    async (context) => {
      const seen: unknown[] = [];
      const server = await startServer(context, {
        onOpen: (session) => seen.push(session.peer),
        onRequest: (_session, body) => seen.push(body),
        onPush: (_session, body) => seen.push(body),
      });
      const { client, closed, log } = startClient(context, server.port, overrides);
      await closed;
      const refused = [...server.log.events, ...log.events];
      assert.ok(refused.includes('peerRefused'), refused.join());
      assert.equal(client.isOpen, false);
      assert.deepEqual(seen, []);
    },
  );
});

// Something between the two ends forgets the connection: it stays open and nothing comes any more.
// Without heartbeats its user would wait for ever. It is dropped after five without a byte.
test('a connection that goes silent is dropped', testOptions, async (context) => {
  const server = await startServer(context);
  const { client, opened, closed, timers, log } = startClient(context, server.port);
  await opened;
  // The server's time stands still, so it sends no heartbeat.
  timers.advance(4000);
  assert.equal(client.isOpen, true);
  timers.advance(1000);
  await closed;
  assert.equal(client.isOpen, false);
  assert.ok(log.events.includes('peerSilent'));
});

test('a connection that answers heartbeats is kept', testOptions, async (context) => {
  const pushed: (() => void)[] = [];
  const server = await startServer(context, {
    onOpen: (session) => pushed.push(() => session.push('alive')),
  });
  const process = makeContext('client');
  let arrived = () => {};
  const client = new PeerClient({ host: HOST, port: server.port }, process.context, {
    onOpen: () => arrived(),
    onPush: () => arrived(),
  });
  context.after(() => client.close());
  const nextArrival = async () =>
    new Promise<void>((resolve) => {
      arrived = resolve;
    });
  await nextArrival();
  for (let round = 0; round < 3; round += 1) {
    process.timers.advance(4000);
    const arrival = nextArrival();
    pushed[0]?.();
    await arrival;
  }
  assert.equal(client.isOpen, true);
  assert.equal(process.log.events.includes('peerSilent'), false);
});

// The answer to a request is lost with its connection. Its sender must not think that nothing was
// done: a change or claim may be in the log. After that, without a connection, nothing is sent.
test(
  'a request whose connection is lost may have been seen; the next was not sent',
  testOptions,
  async (context) => {
    const server = await startServer(context, { onRequest: (session) => session.close() });
    const { client, opened, closed } = startClient(context, server.port);
    await opened;
    const lostRequest = await expectFailure(client.request('question', 60_000));
    assert.equal(lostRequest.sent, 'maybe');
    await closed;
    const unsentRequest = await expectFailure(client.request('question', 60_000));
    assert.equal(unsentRequest.sent, 'nothing');
  },
);

test('a request without an answer in time may have been seen', testOptions, async (context) => {
  let asked = () => {};
  const arrival = new Promise<void>((resolve) => {
    asked = resolve;
  });
  const server = await startServer(context, { onRequest: () => asked() });
  const { client, opened, timers } = startClient(context, server.port);
  await opened;
  const failure = expectFailure(client.request('question', 300));
  await arrival;
  timers.advance(300);
  assert.equal((await failure).sent, 'maybe');
});

test('a lost connection is opened anew', testOptions, async (context) => {
  let sessions = 0;
  const server = await startServer(context, {
    onOpen: (session) => {
      sessions += 1;
      if (sessions === 1) session.close();
    },
  });
  const { client, closed, timers, log } = startClient(context, server.port);
  await closed;
  log.events.length = 0;
  timers.advance(2000);
  await log.waitFor('peerConnected');
  assert.equal(client.isOpen, true);
});

// A stranger, or a fault, announces a frame of four gigabytes. If the length were believed the
// process would hold the bytes until it has no memory left. It is refused at its first four bytes.
test('a frame above the bound is refused before it is read', testOptions, async (context) => {
  const server = await startServer(context);
  const socket = createConnection({ host: HOST, port: server.port });
  context.after(() => socket.destroy());
  await once(socket, 'connect');
  const ended = once(socket, 'close');
  socket.resume();
  socket.write(Buffer.from([0xff, 0xff, 0xff, 0xff]));
  await ended;
  assert.ok(server.log.events.includes('frameRejected'));
  const decoder = new FrameDecoder(64);
  assert.throws(() => [...decoder.decode(encodeFrame('x'.repeat(65)))], FrameTooLargeError);
});

test('a first message that is no greeting is refused', testOptions, async (context) => {
  const seen: unknown[] = [];
  const server = await startServer(context, { onPush: (_session, body) => seen.push(body) });
  const socket = createConnection({ host: HOST, port: server.port });
  context.after(() => socket.destroy());
  const ended = once(socket, 'close');
  socket.resume();
  socket.write(encodeFrame({ type: 'push', body: 'drain all' }));
  await ended;
  assert.deepEqual(seen, []);
});

// The network cuts the bytes where it likes. Each frame must come out whole, once and in order.
test('frames come out whole however their bytes are cut', testOptions, () => {
  const bodies = ['a', { list: [1, 2, 3] }, 'x'.repeat(1000)];
  const bytes = Buffer.concat(bodies.map((body) => encodeFrame(body)));
  [1, 3, 7, 500, bytes.length].forEach((step) => {
    const decoder = new FrameDecoder();
    const out: unknown[] = [];
    for (let at = 0; at < bytes.length; at += step) {
      out.push(...decoder.decode(bytes.subarray(at, at + step)));
    }
    assert.deepEqual(out, bodies, `cut every ${step} bytes`);
  });
});

// A server that answers the greeting with a wrong proof is another than it says it is. The client
// must give it no request.
test(
  'a server that cannot prove the secret is refused by the client',
  testOptions,
  async (context) => {
    const sockets = new Set<Socket>();
    const impostor = createServer((socket) => {
      sockets.add(socket);
      const identity = { cluster: 'test', instance: 'server', dataCentre: 'a', role: 'store' };
      const [nonce, proof] = [new Uint8Array(32), new Uint8Array(32)];
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(encodeFrame({ type: 'challenge', identity, nonce, proof }));
      });
    });
    impostor.listen(0, HOST);
    await once(impostor, 'listening');
    context.after(() => {
      sockets.forEach((socket) => socket.destroy());
      impostor.close();
    });
    const { client, closed, log } = startClient(context, (impostor.address() as AddressInfo).port);
    await closed;
    assert.equal(client.isOpen, false);
    assert.ok(log.events.includes('peerRefused'));
  },
);

/** Opens a connection that never proves the secret, and resolves when the server has dropped it. */
async function expectDisconnect(
  port: number,
  sendBytes: (socket: Socket) => Promise<void>,
): Promise<void> {
  const socket = createConnection(port, HOST);
  await once(socket, 'connect');
  const closed = once(socket, 'close');
  socket.on('error', () => {});
  socket.resume();
  await sendBytes(socket);
  await closed;
}

// A stranger connects and announces a large frame. Were it allowed what peers are, a few such
// connections would fill the store's memory; it is dropped before the frame is there.
test('a stranger may not announce a large frame', testOptions, async (context) => {
  const server = await startServer(context);
  await expectDisconnect(server.port, async (socket) => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(1024 * 1024);
    socket.write(length);
  });
  assert.ok(server.log.events.includes('frameRejected'));
});

// A stranger sends a byte now and then, so it never looks silent. A handshake takes milliseconds; a
// connection that is not open after a few heartbeats is dropped, or such callers would pile up.
test('a stranger that trickles bytes is dropped', testOptions, async (context) => {
  const server = await startServer(context);
  await expectDisconnect(server.port, async (socket) => {
    for (let heartbeats = 0; heartbeats < 6; heartbeats += 1) {
      socket.write(Buffer.from([0]).subarray(0, heartbeats < 3 ? 1 : 0));
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      server.timers.advance(1000);
    }
  });
});
