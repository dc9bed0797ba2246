/**
 * Relays the body of an opaque answer to its caller. A failure answer is not relayed but saved, unless
 * it is too large or must not be passed on, and a `BackendServerFailure` is thrown, so that the reducer
 * can retry the call before the caller receives the answer.
 */
import { BackendServerFailure, type BodyEnd, type RelayResponse } from '@hornbeampond/adapters';
import type { AnswerSink } from './HeldAnswer.js';
import type { RelayAnswer } from './RelayAnswer.js';

const OK_STATUS = 200;

/** Larger failure answers are not saved. */
const MAX_SAVED_FAILURE_BYTES = 64 * 1024;

export interface RelayCallbacks {
  isCancelled(): boolean;
  onBytesReceived(): void;
  /** Called once the caller can receive more. */
  onBytesWritten(): void;
  /** Called at the end of a body; rejects if the answer is not whole. */
  requireWhole(end: BodyEnd, hasPartialEvent: boolean): Promise<void>;
}

async function saveFailureAndThrow(
  response: RelayResponse,
  answer: RelayAnswer,
  { isCancelled, requireWhole }: RelayCallbacks,
): Promise<never> {
  const { status, body } = response;
  const failure = new BackendServerFailure(`the answer has status ${status}`, {
    failure: 'serverError',
    status,
    response: { status },
  });
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  const end = await body.forEach((chunk) => {
    bytes += chunk.length;
    // Its end is not awaited: it may have none.
    if (bytes > MAX_SAVED_FAILURE_BYTES) throw failure;
    chunks.push(chunk);
    return undefined;
  });
  await requireWhole(end, false);
  if (!isCancelled()) answer.saveFailureAnswer(response, Buffer.concat(chunks));
  throw failure;
}

/**
 * Resolves with what shows the end of the answer, once that is known to be whole.
 *
 * @param sink - Receives the answer: `answer` itself, or what holds it back for `answer`.
 */
export async function relayBody(
  response: RelayResponse,
  answer: RelayAnswer,
  sink: AnswerSink<RelayResponse>,
  callbacks: RelayCallbacks,
): Promise<BodyEnd> {
  if (answer.started && !(response.isStream && response.status === OK_STATUS)) {
    throw new BackendServerFailure('the answer cannot continue the one already started', {
      failure: 'malformed',
      status: response.status,
    });
  }
  if (answer.isFailure(response.status)) await saveFailureAndThrow(response, answer, callbacks);
  sink.receiveHead(response);
  let hasBytes = false;
  const end = await response.body.forEach((bytes) => {
    if (callbacks.isCancelled()) return undefined;
    hasBytes = true;
    callbacks.onBytesReceived();
    const held = sink.writeBytes(bytes);
    if (held !== undefined) return held.then(() => callbacks.onBytesWritten());
    callbacks.onBytesWritten();
    return undefined;
  });
  if (callbacks.isCancelled()) return end;
  // Otherwise the answer holds what an earlier attempt has left.
  const hasPartialEvent = response.isStream && hasBytes && answer.hasPartialEvent;
  await callbacks.requireWhole(end, hasPartialEvent);
  return end;
}
