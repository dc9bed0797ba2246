/**
 * How the system meets one plain application service: its calls are passed on as they are.
 *
 * No method retries or has a timeout of its own; the caller's `AbortSignal` is the limit. Every
 * failure is a `BackendServerFailure`. A status of 4xx or 5xx is an answer, not a failure.
 */
import type { LoadReport } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';

/** Headers with lower-case names. A header that came more than once has all its values. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

export interface PlainServiceRequest {
  readonly method: string;
  /** Path and query, as in `/offers?shop=3`. */
  readonly path: string;
  /** Hop-by-hop headers and `host` are left out by the adapter. */
  readonly headers: HeaderFields;
  readonly body?: Uint8Array;
  /**
   * True for a call that may not be repeated: it goes out on a connection opened for it alone,
   * at most once, and a failure tells surely whether a byte was sent.
   */
  readonly requiresNewConnection: boolean;
  /** Bounds the whole call, the reading of the answer included. */
  readonly signal: AbortSignal;
}

export interface PlainServiceAnswer {
  readonly status: number;
  /** Without hop-by-hop headers. */
  readonly headers: HeaderFields;
  /** Read once; throws a `BackendServerFailure` if the answer is cut or too large. */
  readonly body: AsyncIterable<Uint8Array>;
}

export abstract class PlainServiceAdapter {
  /** Sends a call; resolves when the answer's headers are there. */
  abstract send(request: PlainServiceRequest): Promise<PlainServiceAnswer>;

  /** The service's latest load report, which may lag. */
  abstract readLoad(signal: AbortSignal): Promise<LoadReport>;

  /** Asks for a sign of life over a new connection; rejects if there is none. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Lets running calls finish on the connections they have; later calls open new ones. */
  abstract renewConnections(): void;

  /** Ends all connections at once. */
  abstract close(): Promise<void>;
}
