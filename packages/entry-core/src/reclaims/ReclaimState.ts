/**
 * In-memory state of backend servers that are being reclaimed, and of the KV cache moves away from
 * them.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** A KV cache that is being moved to another backend server for one stream. */
export interface CacheMove {
  readonly requestId: string;
  readonly attemptId: string;
  readonly from: string;
  readonly to: string;
  /** Number of answer tokens that the exported cache covers. */
  readonly tokens: number;
  readonly startedAt: MonotonicMilliseconds;
  /** The move is considered failed at this time. */
  readonly dueAt: MonotonicMilliseconds;
}

export interface ReclaimState {
  /**
   * When each backend server stops running, by instance; known even before the instance is listed.
   */
  readonly leaving: Map<string, EpochMilliseconds>;
  /** Cache moves in progress, by request id. */
  readonly moves: Map<string, CacheMove>;
}

export function makeReclaimState(): ReclaimState {
  return { leaving: new Map(), moves: new Map() };
}
