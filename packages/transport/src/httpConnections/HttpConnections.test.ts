/** Callers that send ahead, stop or never finish, at a server of this process. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { HornbeampondError } from '@hornbeampond/schema';
import { HttpConnections } from './HttpConnections.js';
import type { TrackedResponse } from './TrackedResponse.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** A server that answers when it is told to. */
class TestServer {
  readonly responses: TrackedResponse[] = [];

  readonly refusals: string[] = [];

  private readonly server: Server;

  constructor() {
    const connections = new HttpConnections({
      onRefused: ({ kind }: HornbeampondError) => this.refusals.push(kind),
    });
    this.server = connections.createServer({}, (request, response) => {
      request.resume();
      this.responses.push(response);
    });
  }

  static async start(context: TestContext) {
    const server = new TestServer();
    await server.listen();
    context.after(() => server.close());
    return server;
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
    this.server.closeAllConnections();
    this.server.close();
  }
}

async function until(isReached: () => boolean): Promise<void> {
  while (!isReached()) await wait(5);
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
  assert.equal(closed, 5);
  assert.ok(server.responses.every(({ destroyed }) => destroyed));
});
