/**
 * Interface to one plain application service, which receives calls unchanged but for hop-by-hop
 * headers and `host`.
 *
 * No method retries or has a timeout of its own; the caller's `AbortSignal` is the only limit.
 * Every failure is a `BackendServerFailure`. A status of 4xx or 5xx to `send` is an answer, not a
 * failure.
 */
import type { LoadReport } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';

/** Headers by name. A header that occurs more than once has an array of values. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

export interface PlainServiceRequest {
  readonly method: string;
  /** Path and query, such as `/offers?shop=3`. */
  readonly path: string;
  /** The adapter removes hop-by-hop headers and `host`. */
  readonly headers: HeaderFields;
  readonly body?: Uint8Array;
  /**
   * True for a call that must not be repeated: it is sent at most once, on a connection opened
   * for it alone, so that a failure can state reliably that no byte was sent.
   */
  readonly requiresNewConnection: boolean;
  /** Limits the whole call, including the reading of the answer. */
  readonly signal: AbortSignal;
}

export interface PlainServiceAnswer {
  readonly status: number;
  /** Without hop-by-hop headers. */
  readonly headers: HeaderFields;
  /** Can be read once; throws a `BackendServerFailure` if the answer is truncated or too large. */
  readonly body: AsyncIterable<Uint8Array>;
}

export abstract class PlainServiceAdapter {
  /** Sends a call; resolves once the headers of the answer have arrived. */
  abstract send(request: PlainServiceRequest): Promise<PlainServiceAnswer>;

  /** Reads the latest load report of the service, which may be stale. */
  abstract readLoad(signal: AbortSignal): Promise<LoadReport>;

  /** Sends a health probe over a new connection; rejects unless the answer has a 2xx status. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Makes later calls open new connections; running calls finish on their current ones. */
  abstract renewConnections(): void;

  /**
   * Closes connections immediately, so that their calls fail; calls on connections replaced by
   * `renewConnections` still finish.
   */
  abstract close(): Promise<void>;
}
