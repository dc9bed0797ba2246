/**
 * How callers of opaque calls are spoken to: where a request says who calls, how long the caller
 * waits and what its prompt holds, and how a refusal is written. The relay server reads bytes and
 * keeps bounds; what headers mean is known here alone.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeaderLine } from '@hornbeampond/adapters';
import type { CallerRequest } from '@hornbeampond/entry-core';

/** What the head of a request says, as far as decisions need it. */
export type CallRequestFields = Pick<
  CallerRequest,
  | 'keySha256'
  | 'host'
  | 'patience'
  | 'model'
  | 'prefixDigests'
  | 'prefixTokens'
  | 'promptTokens'
  | 'maxTokens'
  | 'countedTokens'
>;

/** The head of a request, read. */
export interface ParsedCall {
  /** The caller's name for this request, unique for all time; it names the request in logs. */
  readonly name?: string;
  readonly requestFields: CallRequestFields;
  /** What is passed on to the backend server. */
  readonly forwardedHeaders: readonly HeaderLine[];
  /** The last event that the caller has, where it asks for the rest of a stream. */
  readonly resumeAfter?: string;
}

export abstract class CallProtocol {
  /** Reads the head; throws a `HornbeampondError` if it is malformed. */
  abstract parseCall(message: IncomingMessage): ParsedCall;

  /** Writes a final answer that tells the error. */
  abstract writeProblem(response: ServerResponse, error: unknown, requestId?: string): void;
}
