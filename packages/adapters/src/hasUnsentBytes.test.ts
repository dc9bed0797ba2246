import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { hasUnsentBytes } from './hasUnsentBytes.js';

/** The operating system holds it as a whole, but not the receiving side of a peer that does not read. */
const LONG_BYTES = 600_000;

/** A peer receives it without reading. */
const SHORT_BYTES = 30_000;

/** Writes so many bytes to a peer that closes its side, before or after it has read them, and asks at its end. */
async function askAtEnd(
  context: TestContext,
  host: string,
  { bytes, isRead }: { readonly bytes: number; readonly isRead: boolean },
): Promise<boolean> {
  const server = createServer({ allowHalfOpen: true, pauseOnConnect: !isRead }, (peer: Socket) => {
    context.after(() => peer.destroy());
    let left = isRead ? bytes : 0;
    if (left === 0) peer.end('part');
    peer.on('data', (chunk) => {
      left -= chunk.length;
      if (left === 0) peer.end('whole');
    });
  });
  context.after(() => server.close());
  server.listen(0, host);
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, host);
  context.after(() => socket.destroy());
  await once(socket, 'connect');
  socket.resume();
  socket.write(Buffer.alloc(bytes));
  let isUnsent: boolean | undefined;
  socket.prependOnceListener('end', () => {
    isUnsent = hasUnsentBytes(socket, bytes);
  });
  await once(socket, 'end');
  return isUnsent ?? assert.fail('the connection has not ended');
}

['127.0.0.1', '::1'].forEach((host) => {
  // Guards against a request that counts as sent because the operating system has taken it.
  test(`bytes that the peer has not received are unsent (${host})`, async (context) => {
    assert.equal(await askAtEnd(context, host, { bytes: LONG_BYTES, isRead: false }), true);
  });

  // Guards against sound answers that are refused because their requests seem unsent.
  test(`bytes that the peer has received are sent (${host})`, async (context) => {
    assert.equal(await askAtEnd(context, host, { bytes: LONG_BYTES, isRead: true }), false);
    assert.equal(await askAtEnd(context, host, { bytes: SHORT_BYTES, isRead: true }), false);
    assert.equal(await askAtEnd(context, host, { bytes: SHORT_BYTES, isRead: false }), false);
  });
});
