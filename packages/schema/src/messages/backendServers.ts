/**
 * Messages about backend servers: the platform's list of instances, load reports, cache events and
 * orders. Lists and reports describe a past state, so their readers must limit the age that they
 * accept.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';

export const instanceStates = ['starting', 'live', 'leaving'] as const;
export type InstanceState = (typeof instanceStates)[number];

/** One row of the platform's list of instances, which lags behind the real state. */
export interface PlatformInstance {
  readonly instance: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly pool: string;
  readonly state: InstanceState;
  /** Address on which the backend server listens. */
  readonly host: string;
  readonly port: number;
  /** When the platform will reclaim the instance, if it has given notice. */
  readonly goneAt?: EpochMilliseconds;
  /** Idempotency token of the start request, so that a resent request starts no second instance. */
  readonly startToken?: string;
  /** Version of its software, if the platform states it. */
  readonly version?: string;
  /** Requests that it runs at a time; overrides the `concurrency` of its instance class. */
  readonly concurrency?: number;
}

/** A `PlatformInstance` in the form in which processes forward it to each other. */
export type SharedInstance = Omit<PlatformInstance, 'goneAt'> & {
  /** Time until the platform reclaims the instance; relative, since clocks may differ. */
  readonly goneIn?: Milliseconds;
};

/** Differences between two successive readings of the platform's list. */
export interface InstanceListDelta {
  /** When the platform was asked for the list; missing from processes of older versions. */
  readonly readAt?: EpochMilliseconds | undefined;
  readonly changed: readonly SharedInstance[];
  /** Names of instances that are no longer listed. */
  readonly gone: readonly string[];
}

/** The load of a backend server at `measuredAt`. */
export interface LoadReport {
  readonly instance: string;
  readonly measuredAt: EpochMilliseconds;
  readonly running: number;
  readonly queued: number;
  /** Requests that the backend server runs at a time. */
  readonly slots?: number;
  /** How long work takes on its machine at the moment; 1 is usual, 2.5 is 2.5 times as long. */
  readonly timeFactor?: number;
  /** Tokens per second that the backend server generates, summed over all streams. */
  readonly tokensPerSecond?: number;
  /** Predicted time to the first token of a new request. */
  readonly firstTokenDelay?: Milliseconds;
  /** Loaded model; only for backend servers that are model engines. */
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

/** A change of a model engine's prefix cache. Events may be late or missing. */
export interface CacheEvent {
  readonly instance: string;
  readonly sequence: number;
  readonly change: 'stored' | 'evicted' | 'cleared';
  readonly prefixDigests: readonly string[];
}

/** An order to a backend server. The epoch of the controller's lease serves as fencing token. */
export interface Order {
  readonly epoch: number;
  readonly sequence: number;
  readonly action:
    | {
        readonly type: 'load';
        readonly model: string;
        readonly adapter?: string;
        readonly version?: string;
      }
    | { readonly type: 'changeRole'; readonly role: 'prefill' | 'decode' | 'both' };
}

export type OrderResult = 'done' | 'refusedAsOld' | 'failed';

/** Requests a target size of a pool in one data centre from the platform. */
export interface SizeOrder {
  readonly pool: string;
  readonly dataCentre: string;
  /** True for the reclaimable instances of the pool, false for its on-demand ones. */
  readonly reclaimable: boolean;
  /** Target number of these instances; the platform starts or ends instances to reach it. */
  readonly count: number;
}
