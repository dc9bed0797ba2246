/**
 * In-memory state of backend servers that are being reclaimed, and of the KV cache moves away from
 * them.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** A KV cache that is being moved to another backend server for one stream. */
export interface CacheMove {
  /** Distinguishes the moves of one stream. */
  readonly number: number;
  readonly requestId: string;
  readonly attemptId: string;
  readonly from: string;
  readonly to: string;
  /** Number of answer tokens that the exported cache covers. */
  readonly tokens: number;
  readonly startedAt: MonotonicMilliseconds;
  /** The move is overdue from this time on. */
  readonly dueAt: MonotonicMilliseconds;
  /**
   * True once the move is due or its target is lost. The order is still out, but other streams of the
   * source do not wait for its answer.
   */
  isOverdue: boolean;
}

export interface SourceFailures {
  readonly inRow: number;
  /** The source gets no order before. */
  readonly restsUntil: MonotonicMilliseconds;
}

export interface ReclaimState {
  /**
   * When each backend server stops running, by instance; known even before the instance is listed.
   */
  readonly leaving: Map<string, EpochMilliseconds>;
  /** Moves whose orders have not been answered, by request id; no run has two. */
  readonly moves: Map<string, CacheMove>;
  /** Number of moves so far. */
  movesStarted: number;
  /** Orders that have failed in a row, by the instance that got them. */
  readonly failuresBySource: Map<string, SourceFailures>;
}

export function makeReclaimState(): ReclaimState {
  return { leaving: new Map(), moves: new Map(), movesStarted: 0, failuresBySource: new Map() };
}
