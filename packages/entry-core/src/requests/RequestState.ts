/** The state of an accepted request until its final answer. */
import type {
  Milliseconds,
  MonotonicMilliseconds,
  Pool,
  RecomputeReason,
  Route,
} from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { BoundVersion } from '../streamVersions/boundVersion.js';

export interface RequestState {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly pool: Pool;
  readonly arrivedAt: MonotonicMilliseconds;
  readonly firstTokenDueAt: MonotonicMilliseconds;
  readonly wholeAnswerDueAt: MonotonicMilliseconds;
  /** Until when a first token that misses `firstTokenDueAt` is still useful. */
  readonly lateFirstTokenDueAt: MonotonicMilliseconds;
  /** True once its first token cannot be in time; it is then served after those that can. */
  isLate?: boolean;
  /** The longest acceptable pause between two tokens. */
  readonly maxPause: Milliseconds;
  /** The attempt that the caller's answer currently comes from. */
  attemptId: string | undefined;
  attemptsStarted: number;
  /** The hedge of this request; `isRunning` while it runs beside the current attempt. */
  hedge?: { readonly attemptId: string; isRunning: boolean };
  /** True for the choice of a server for a hedge, which uses the version of the first attempt. */
  isBeingHedged?: boolean;
  /** Compared with the share of a roll-out, from 0 to 1; drawn once. */
  rolloutDraw?: number;
  /** Set while the caller may have received a part of the answer; see `bindVersion`. */
  boundVersion?: BoundVersion | undefined;
  /** True if the caller takes up a stream that is known to have begun at the bound version. */
  readonly isTakenUp?: boolean;
  /** Instances that this request was sent to, the latest last. */
  readonly triedInstances: Set<string>;
  /** Number of answer tokens received so far. */
  tokens: number;
  firstTokenAt: MonotonicMilliseconds | undefined;
  /** When the attempt that sent the latest tokens ended, if another attempt has to continue. */
  interruptedAt?: MonotonicMilliseconds;
  /** True once it has been counted as begun in the usage report. */
  isCountedAsBegun?: boolean;
  /** True once an attempt may have sent a byte; see `determineRan`. */
  maybeSent?: boolean;
  /**
   * True while another request holds the claim of this call, or may hold it because the stores have not
   * answered yet; see `determineRan`.
   */
  mayRunForOtherRequest?: boolean;
  /** How often this request has lost its backend server or connection. */
  lossCount?: number;
  /** Unresponsive attempts that may still deliver the answer first. */
  timedOutAttemptIds?: string[];
  /** Since when no backend server has been available for it. */
  waitingForServerSince?: MonotonicMilliseconds;
  /** The tokens that the next attempt has to compute again, and why. */
  recompute?: { readonly reason: RecomputeReason; readonly tokens: number };
}
