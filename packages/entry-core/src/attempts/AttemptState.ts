/** One attempt of a request at one backend server. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

export interface AttemptState {
  readonly attemptId: string;
  readonly requestId: string;
  readonly instance: string;
  readonly startedAt: MonotonicMilliseconds;
  /** Tokens of the whole answer that were there when the attempt began. */
  readonly resumedFromTokens: number;
  /** True once a byte of the call may have reached the backend server. */
  sent: boolean;
  firstTokenAt: MonotonicMilliseconds | undefined;
  /** Tokens of the whole answer so far, by the newest edge. */
  tokens: number;
  tokensUpdatedAt: MonotonicMilliseconds | undefined;
  /** True while its caller, and not its backend server, holds it up. */
  pausedByCaller?: boolean;
  /** When its backend server was last probed because this stream had stalled. */
  stallProbedAt?: MonotonicMilliseconds;
  /** True for an attempt that fell silent; its whole answer may still come first. */
  givenUp: boolean;
}

/** Name of a request's attempt by its number, from 1; unique for all time as the request is. */
export function attemptIdOf(requestId: string, number: number): string {
  return `${requestId}.${number}`;
}
