/**
 * How the system meets a backend server whose calls are opaque: any method, path and body go out
 * as the caller sent them, and the answer comes back as it is.
 *
 * No method retries or has a timeout of its own; the caller's `AbortSignal` is the limit. Every
 * failure is a `BackendServerFailure`. An answer of any status is an answer, unless the backend
 * server says that it did not run the call: that is the failure `busy` with nothing sent.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';

/** Name and value of one header, as it stood on the wire. */
export type HeaderLine = readonly [name: string, value: string];

export interface RelayRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** The caller's headers that are passed on. */
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
  /** Empty for a caller that needs no key. */
  readonly workspace: string;
  /** Time until the whole answer is due; the backend server stops work then. */
  readonly timeLeft: Milliseconds;
  /** 0 is served first, 9 last. */
  readonly urgency: number;
  /** The last event that the caller has, where a stream goes on after it. */
  readonly resumeAfter?: string;
  /** Names a moved KV cache from which the call goes on as the same run. */
  readonly continueFrom?: string;
  readonly signal: AbortSignal;
}

/** A running call whose KV cache is to go to another backend server. */
export interface RelayCacheMove {
  /** The call's headers, by which the backend server knows it. */
  readonly headers: readonly HeaderLine[];
  readonly to: { readonly host: string; readonly port: number };
  readonly signal: AbortSignal;
}

/** What a backend server says of its load along with an answer. */
export interface RelayLoad {
  readonly running: number;
  readonly queued: number;
}

export interface RelayResponse {
  readonly status: number;
  /** Without those that speak of the connection. */
  readonly headers: readonly HeaderLine[];
  /** True for a stream of events, which is passed on as it comes. */
  readonly isStream: boolean;
  readonly load?: RelayLoad;
  /** Read once; throws a `BackendServerFailure` if the answer is cut. */
  readonly body: AsyncIterable<Uint8Array>;
}

export abstract class RelayAdapter {
  /** Sends a call; resolves when the answer's headers are there. */
  abstract send(request: RelayRequest): Promise<RelayResponse>;

  /**
   * Stops a running call and moves its KV cache; its answer ends without its end. Resolves with
   * what names the cache at its new place. If it rejects, the call may run on or have stopped.
   */
  abstract moveCache(move: RelayCacheMove): Promise<string>;

  /** Asks for a sign of life over a new connection; rejects if there is none. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Lets running calls finish on the connections they have; later calls open new ones. */
  abstract renewConnections(): void;

  /** Ends all connections at once. */
  abstract close(): Promise<void>;
}
