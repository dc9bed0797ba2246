/** Gives a call up in a way that nothing of it acts any more. */
import type { ClientRequest } from 'node:http';

function abortCall(call: ClientRequest, reason: unknown): void {
  const { socket } = call;
  // Node resets only once it has handed on all bytes, which a stalled connection never takes. What
  // is left of the call then is no whole call, and does no harm.
  const isFullyWritten = socket !== null && !socket.connecting && socket.writableLength === 0;
  if (isFullyWritten) socket.resetAndDestroy();
  else call.destroy(reason instanceof Error ? reason : new Error('given up'));
}

/**
 * Resets the call's connection when `signal` is aborted. Closing it would leave bytes under way
 * that a partition holds up: they arrive when it heals, seconds after the call was given up, and
 * act beside whoever has taken over meanwhile. A reset discards what has not been taken in.
 */
export function resetOnAbort(call: ClientRequest, signal: AbortSignal): void {
  const onAbort = () => abortCall(call, signal.reason);
  if (signal.aborted) {
    onAbort();
    return;
  }
  signal.addEventListener('abort', onAbort, { once: true });
  // Told before the connection is free for another call, which must not be reset.
  call.once('close', () => signal.removeEventListener('abort', onAbort));
}
