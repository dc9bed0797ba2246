/** One accepted request until its final answer. */
import type {
  Milliseconds,
  MonotonicMilliseconds,
  Pool,
  RecomputeReason,
  Route,
} from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';

export interface RequestState {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly pool: Pool;
  readonly arrivedAt: MonotonicMilliseconds;
  readonly firstTokenDueAt: MonotonicMilliseconds;
  readonly wholeAnswerDueAt: MonotonicMilliseconds;
  /** Until when a first token is of use that misses the time it is due at. */
  readonly lateFirstTokenDueAt: MonotonicMilliseconds;
  /** True once its first token cannot be in time any more: it goes behind those that can. */
  isLate?: boolean;
  /** The longest pause between two tokens that the caller takes for none. */
  readonly maxPause: Milliseconds;
  /** The attempt that the caller's answer is bound to now. */
  attemptId: string | undefined;
  attemptsStarted: number;
  /** Backend servers that this request was tried at. */
  readonly triedInstances: Set<string>;
  /** Tokens of the answer that are there already. */
  tokens: number;
  firstTokenAt: MonotonicMilliseconds | undefined;
  /** When the attempt ended that gave the newest tokens, if the answer goes on elsewhere. */
  interruptedAt?: MonotonicMilliseconds;
  /** True once an attempt may have sent a byte; see `ranOf`. */
  maybeSent?: boolean;
  /** True while another attempt holds the claim of this call; see `ranOf`. */
  mayRunElsewhere?: boolean;
  /** Times that this request lost its backend server or its connection. */
  lossCount?: number;
  /** Attempts that fell silent and may still bring the first whole answer. */
  abandonedAttemptIds?: string[];
  /** Since when it has found no backend server, if it waits for one. */
  waitingForServerSince?: MonotonicMilliseconds;
  /** What the next attempt has to compute again. */
  recompute?: { readonly reason: RecomputeReason; readonly tokens: number };
}
