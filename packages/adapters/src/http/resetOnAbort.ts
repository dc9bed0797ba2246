/** Aborts a call so that bytes still in transit do not take effect at the server later. */
import type { ClientRequest } from 'node:http';

function abortCall(call: ClientRequest, reason: unknown): void {
  const { socket } = call;
  // Node delays a reset until all bytes are written, which never happens on a stalled connection.
  // If bytes are left, the connection is destroyed instead: the server gets an incomplete call.
  const isFullyWritten = socket !== null && !socket.connecting && socket.writableLength === 0;
  if (isFullyWritten) socket.resetAndDestroy();
  else call.destroy(reason instanceof Error ? reason : new Error('call aborted'));
}

/**
 * Resets the connection of the call when `signal` is aborted. After a mere close, bytes delayed by
 * a partition would arrive when it heals, and the aborted call would run beside the one that
 * replaced it. A reset discards data that has not been delivered.
 */
export function resetOnAbort(call: ClientRequest, signal: AbortSignal): void {
  const onAbort = () => abortCall(call, signal.reason);
  if (signal.aborted) {
    onAbort();
    return;
  }
  signal.addEventListener('abort', onAbort, { once: true });
  // `close` is emitted before another call can use the connection, which must not be reset.
  call.once('close', () => signal.removeEventListener('abort', onAbort));
}
