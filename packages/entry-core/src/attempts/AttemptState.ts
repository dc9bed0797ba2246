/** State of one attempt to serve a request on one backend server. */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AssumedRoom } from '../statements/AssumedRoom.js';

export interface FailedMoves {
  readonly count: number;
  /** No other order is sent before. */
  readonly restsUntil: MonotonicMilliseconds;
}

export interface AttemptState {
  readonly attemptId: string;
  readonly requestId: string;
  readonly instance: string;
  /** Version of the instance when the attempt started. */
  readonly version: string | undefined;
  readonly startedAt: MonotonicMilliseconds;
  /** What was assumed of the server when the attempt started. */
  readonly assumedRoom: AssumedRoom;
  /** Tokens of the answer that earlier attempts had produced when this one started. */
  readonly resumedFromTokens: number;
  /** True once the backend server may have received a byte of the call. */
  maybeSent: boolean;
  firstTokenAt: MonotonicMilliseconds | undefined;
  /** By how much this process had been late in all when the attempt started. */
  readonly latenessBefore: Milliseconds;
  /** Time to the first token without what this process was late by, if that is the smaller part. */
  serverDelay?: Milliseconds | 'unknown';
  /** Tokens of the answer so far, including those of earlier attempts. */
  tokens: number;
  tokensUpdatedAt: MonotonicMilliseconds | undefined;
  /** True while backpressure from a slow caller pauses the stream. */
  pausedByCaller?: boolean;
  /** When its backend server was last probed because this stream stalled. */
  stallProbedAt?: MonotonicMilliseconds;
  /** True once the parts of its prompt are known to be sound. */
  hasShownParts?: boolean;
  /** True while the shell holds the answer back, so the caller has received nothing of it. */
  isHeld?: boolean;
  /** Orders to move its KV cache that have failed. */
  failedMoves?: FailedMoves;
  /** True once the attempt has timed out but is kept, as its answer may still arrive first. */
  timedOut: boolean;
}

/** Id of the attempt with this number (counted from 1). Never reused, since request ids are not. */
export function attemptIdOf(requestId: string, number: number): string {
  return `${requestId}.${number}`;
}
