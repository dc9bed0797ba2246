/**
 * Interface to a backend server whose calls are opaque: method, path, body and forwarded headers
 * are sent as the caller sent them, and the answer is returned without its connection headers.
 *
 * No method retries or has a timeout of its own; the caller's `AbortSignal` is the only limit.
 * Every failure is a `BackendServerFailure`. Any status is an answer, unless the backend server
 * states that it did not run the call: that is a failure with a proof that it was not run. A status
 * alone never is.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';
import type { RelayBody } from './RelayBody.js';
import type { ServerStatement } from './ServerStatement.js';

/** Name and value of one header as received. */
export type HeaderLine = readonly [name: string, value: string];

export interface RelayRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Headers of the caller that are forwarded. */
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
  /** Workspace of the caller; empty if the caller needs no key. */
  readonly workspace: string;
  /** Time until the whole answer is due; after it the backend server stops working on the call. */
  readonly timeLeft: Milliseconds;
  /** From 0, served first, to 9, served last. */
  readonly urgency: number;
  /** The last event that the caller received, if a stream is to continue after it. */
  readonly resumeAfter?: string;
  /** Identifies a moved KV cache from which the call continues as the same run. */
  readonly continueFrom?: string;
  readonly signal: AbortSignal;
}

/** The connection that carries a call, for logs. */
export interface ConnectionUse {
  /** Undefined if the connection was lost at once. */
  readonly localPort: number | undefined;
  /** Calls that were sent on the connection before. */
  readonly callsBefore: number;
}

/** Request to move the KV cache of a running call to another backend server. */
export interface RelayCacheMove {
  /** Headers of the call, by which the backend server identifies it. */
  readonly headers: readonly HeaderLine[];
  readonly to: { readonly host: string; readonly port: number };
  readonly signal: AbortSignal;
  /** Called once the connection of the order is open. */
  readonly onConnection?: (use: ConnectionUse) => void;
}

export interface RelayResponse {
  readonly status: number;
  /** Without headers that concern only the connection. */
  readonly headers: readonly HeaderLine[];
  /** True for a stream of events, which is forwarded as it arrives. */
  readonly isStream: boolean;
  readonly body: RelayBody;
}

export abstract class RelayAdapter {
  /** Receives what the backend server says about itself, once per answer, before the answer. */
  onStatement: (statement: ServerStatement) => void = () => {};

  /** Sends a call; resolves once the headers of the answer have arrived. */
  abstract send(request: RelayRequest): Promise<RelayResponse>;

  /**
   * Stops a running call, whose answer is then truncated, and moves its KV cache. Resolves with the
   * identifier of the cache at the target. If it rejects, the call may still run or have stopped.
   */
  abstract moveCache(move: RelayCacheMove): Promise<string>;

  /** Sends a health probe over a new connection; rejects unless the answer has a 2xx status. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Makes later calls open new connections; running calls finish on their current ones. */
  abstract renewConnections(): void;

  /** Closes all connections immediately; calls in progress fail. */
  abstract close(): Promise<void>;
}
