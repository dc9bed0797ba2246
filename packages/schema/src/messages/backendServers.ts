/**
 * What the platform and the backend servers say of themselves. All of it lags; nothing here is
 * believed without a bound on its age.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';

export const instanceStates = ['starting', 'live', 'leaving'] as const;
export type InstanceState = (typeof instanceStates)[number];

/** One row of the platform's lagging list of instances. */
export interface PlatformInstance {
  readonly instance: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly pool: string;
  readonly state: InstanceState;
  /** Where the backend server listens. */
  readonly host: string;
  readonly port: number;
  /** When a reclaimed instance will be gone, if the platform has given notice. */
  readonly goneAt?: EpochMilliseconds;
  /** Name that the buyer gave the purchase, so that a lost answer never buys twice. */
  readonly startToken?: string;
  /** Requests that it runs at a time, where the list tells; goes before that of its class. */
  readonly concurrency?: number;
}

/** An instance as one process that has read the platform's list tells it to the others. */
export type SharedInstance = Omit<PlatformInstance, 'goneAt'> & {
  /** Time until a reclaimed instance is gone; the clocks of two processes may differ. */
  readonly goneIn?: Milliseconds;
};

/** What one reading of the list has changed. */
export interface InstanceListDelta {
  readonly changed: readonly SharedInstance[];
  /** Names of instances that are listed no longer. */
  readonly gone: readonly string[];
}

/** A load report of a backend server, as old as `measuredAt` says. */
export interface LoadReport {
  readonly instance: string;
  readonly measuredAt: EpochMilliseconds;
  readonly running: number;
  readonly queued: number;
  /** Tokens a second that the engine generates over all its streams. */
  readonly tokensPerSecond?: number;
  /** Predicted wait before a new request's first token. */
  readonly firstTokenDelay?: Milliseconds;
  /** What a model engine has loaded. */
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

/** A model engine's late and gappy word on its prefix cache. */
export interface CacheEvent {
  readonly instance: string;
  readonly sequence: number;
  readonly change: 'stored' | 'evicted' | 'cleared';
  readonly prefixDigests: readonly string[];
}

/** An order to a backend server. It carries the fencing number of the controller's lease. */
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

/** An order for one kind of instances of a pool in one data centre. */
export interface SizeOrder {
  readonly pool: string;
  readonly dataCentre: string;
  readonly reclaimable: boolean;
  /** How many there are to be; the platform starts or ends the difference. */
  readonly count: number;
}
