/** What an entry knows of backend servers on notice, and the moves under way. */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** One stream whose KV cache is on its way to another backend server. */
export interface CacheMove {
  readonly requestId: string;
  readonly attemptId: string;
  readonly from: string;
  readonly to: string;
  /** Tokens of the answer that the exported cache holds. */
  readonly tokens: number;
  /** Taken for failed after this. */
  readonly dueAt: MonotonicMilliseconds;
}

export interface ReclaimState {
  /** When backend servers will be gone, by instance; from any source, listed here yet or not. */
  readonly leaving: Map<string, EpochMilliseconds>;
  /** By request id. */
  readonly moves: Map<string, CacheMove>;
}

export function makeReclaimState(): ReclaimState {
  return { leaving: new Map(), moves: new Map() };
}
