/**
 * Moves the body of an opaque answer to its caller. An answer of 5xx is a failure of the backend
 * server: it is read whole, kept for the caller, and told as a failure, so that the reducer can
 * try elsewhere first.
 */
import { BackendServerFailure, type RelayResponse } from '@hornbeampond/adapters';
import type { RelayAnswer } from './RelayAnswer.js';

const STATUS_OK = 200;
const FIRST_SERVER_ERROR = 500;

/** Larger answers that tell of a failure are cut short. */
const MOST_FAILURE_BYTES = 64 * 1024;

export interface RelayCallbacks {
  isCancelled(): boolean;
  /** Bytes have come. */
  onBytesReceived(): void;
  /** The caller has taken them. */
  onBytesWritten(): void;
}

async function readFailure({ status, body }: RelayResponse, answer: RelayAnswer): Promise<never> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes <= MOST_FAILURE_BYTES) chunks.push(chunk);
  }
  if (bytes <= MOST_FAILURE_BYTES) answer.saveFailureAnswer(Buffer.concat(chunks));
  throw new BackendServerFailure(`the answer has status ${status}`, {
    failure: 'serverError',
    status,
  });
}

export async function relayBody(
  response: RelayResponse,
  answer: RelayAnswer,
  edges: RelayCallbacks,
): Promise<void> {
  if (answer.started && !(response.isStream && response.status === STATUS_OK)) {
    throw new BackendServerFailure('a stream cannot go on with this', {
      failure: 'malformed',
      status: response.status,
    });
  }
  answer.receiveHead(response);
  if (response.status >= FIRST_SERVER_ERROR) await readFailure(response, answer);
  for await (const bytes of response.body) {
    if (edges.isCancelled()) return;
    edges.onBytesReceived();
    await answer.writeBytes(bytes);
    edges.onBytesWritten();
  }
  // The connection ended cleanly, yet in the middle of an event: the stream was cut.
  if (answer.hasPartialEvent) throw new BackendServerFailure('the stream ended inside an event');
}
