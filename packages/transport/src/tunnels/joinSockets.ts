/**
 * Passes bytes between two sockets in both directions. How one of them ends is passed on too: a reset
 * stays a reset, unless Node reports it as a normal end because it came in one read with the last bytes.
 */
import type { Socket } from 'node:net';

function passOn(from: Socket, to: Socket): void {
  from.pipe(to);
  from.on('error', () => to.resetAndDestroy());
  from.on('close', () => {
    if (!from.readableEnded) to.resetAndDestroy();
  });
}

export function joinSockets(left: Socket, right: Socket): void {
  passOn(left, right);
  passOn(right, left);
}
