/**
 * Base class for the protocol of opaque calls: implementations interpret the head of a request and
 * write error answers. `RelayServer` reads the bytes and enforces the size and time limits, but does
 * not interpret headers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeaderLine } from '@hornbeampond/adapters';
import type { CallerRequest } from '@hornbeampond/entry-core';

/** The fields of a `CallerRequest` that are read from the head of the request. */
export type CallRequestFields = Pick<
  CallerRequest,
  | 'keySha256'
  | 'host'
  | 'patience'
  | 'model'
  | 'resumption'
  | 'prefixDigests'
  | 'sharedParts'
  | 'prefixTokens'
  | 'promptTokens'
  | 'maxTokens'
  | 'countedTokens'
>;

export interface ParsedCall {
  /** Request id chosen by the caller, which has to make it globally unique. */
  readonly name?: string;
  readonly requestFields: CallRequestFields;
  /** Headers that are sent to the backend server. */
  readonly forwardedHeaders: readonly HeaderLine[];
}

export abstract class CallProtocol {
  /** Parses the head of a request; throws a `HornbeampondError` if it is malformed. */
  abstract parseCall(message: IncomingMessage): ParsedCall;

  /**
   * True for statuses by which callers know that their request did not run and will not. Only this
   * entry may answer with them: a backend server can run a call and answer with any status.
   */
  abstract promisesNotRun(status: number): boolean;

  /** Ends the response with a description of the error. */
  abstract writeProblem(response: ServerResponse, error: unknown, requestId?: string): void;
}
