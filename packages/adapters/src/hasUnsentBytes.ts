/**
 * Tells whether bytes of a request are still unsent. A server that closes its side before it has received
 * the whole request has not answered that request: the answer is broken off, however its connection ends.
 */
import type { Socket } from 'node:net';

/** Must be called when the connection reports its end, before it is closed in turn. */
export function hasUnsentBytes(socket: Socket): boolean {
  return socket.writableLength > 0;
}
