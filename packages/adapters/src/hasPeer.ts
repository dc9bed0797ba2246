/**
 * Tells a connection that the peer has closed from one that it has reset. Node reports a reset that arrives
 * in one read with the last bytes as a normal end: libuv takes the hang-up event of the socket for the end
 * of a read that was not filled, and does not read the pending error.
 *
 * On Linux a reset leaves the socket in the state CLOSE, in which it has no peer. A connection that only
 * the peer has closed is in CLOSE_WAIT and has one, and cannot return from CLOSE. So if the socket has
 * a peer at its end, the end was read from the connection, after all bytes before it. Whatever else
 * leads to CLOSE, such as a reset after the peer has closed, counts as a reset.
 */
import type { Socket } from 'node:net';

interface SocketHandle {
  /** Returns 0 if the operating system still knows the peer. */
  getpeername?(address: object): number;
}

/** Asks the operating system: once read, `socket.remoteAddress` keeps its value after a reset. */
export function hasPeer(socket: Socket): boolean {
  const { _handle: handle } = socket as Socket & { _handle?: SocketHandle | null };
  return handle?.getpeername?.({}) === 0;
}
