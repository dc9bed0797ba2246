import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { HttpConnections } from './HttpConnections.js';

const HOST = '127.0.0.1';

// Guards against a process that cannot end, because a call runs on a connection of before a renewal.
test('closing ends calls on connections that were replaced', async (context) => {
  let arrived = () => {};
  const hasArrived = new Promise<void>((resolve) => {
    arrived = resolve;
  });
  // A server that never answers.
  const server = createServer(() => arrived());
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const connections = new HttpConnections(`http://${HOST}:${port}`);
  const signal = AbortSignal.timeout(2000);
  const call = connections.send({ method: 'GET', path: '/', signal });
  await hasArrived;
  connections.renew();
  await Promise.all([connections.close(), assert.rejects(call, { failure: 'connectionLost' })]);
});

// A body with neither a length nor chunks ends with its connection. Guards against half an answer that is
// given as whole because its connection was reset and not closed.
test('an answer without a length whose connection is reset is not whole', async (context) => {
  const server = createServer(({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () =>
      socket.resetAndDestroy(),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const connections = new HttpConnections(`http://${HOST}:${port}`);
  context.after(async () => connections.close());
  for (let call = 0; call < 10; call += 1) {
    const signal = AbortSignal.timeout(2000);
    const { body } = await connections.sendOnNewConnection({ method: 'GET', path: '/', signal });
    const read = async () => {
      const chunks: Uint8Array[] = [];
      for await (const chunk of body) chunks.push(chunk);
    };
    await assert.rejects(read, { failure: 'connectionLost', sent: 'maybe' });
  }
});
