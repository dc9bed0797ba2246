/**
 * What the one process knows that reports usage and sizes pools for the whole cluster. Every
 * process that may take the lease keeps this state up to date, so that a successor has it at once.
 */
import {
  emptyConfiguration,
  type Configuration,
  type EntryReport,
  type EpochMilliseconds,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PlatformInstance,
  type UsageCounts,
} from '@hornbeampond/schema';
import type { PlaceSize, SizeNeed } from '../sizing/planSizes.js';
import { UsageLedger } from '../usage/UsageLedger.js';

/** What a start of the process is told. */
export interface SingletonOptions {
  /** Length of the windows of the usage report; 0 if none is due. */
  readonly usageWindow: Milliseconds;
  readonly ordersInstances: boolean;
}

/** A report of one entry, with the time it came. */
export interface HeardEntry {
  readonly report: EntryReport;
  readonly heardAt: MonotonicMilliseconds;
}

/** One moment's need, kept for a while: capacity follows a rise at once and a fall late. */
export interface PastNeed {
  readonly at: MonotonicMilliseconds;
  readonly need: SizeNeed;
}

/** One plan, kept as long. */
export interface PastPlan {
  readonly at: MonotonicMilliseconds;
  readonly sizes: readonly PlaceSize[];
}

/** The last order for one kind of instances in one data centre. */
export interface ToldSize {
  readonly count: number;
  readonly at: MonotonicMilliseconds;
}

/** What the platform was told last for one data centre; a kind that it was not told is missing. */
export interface OrderedSize {
  readonly reclaimable?: ToldSize;
  readonly onDemand?: ToldSize;
}

export interface SizedPool {
  needs: PastNeed[];
  plans: PastPlan[];
  /** By data centre. */
  readonly ordered: Map<string, OrderedSize>;
  /** Instances that were there before any were ordered. */
  found: number;
  /** When waves have taken the reclaimable instances of a data centre, and how many it had before. */
  waves: MonotonicMilliseconds[];
  readonly reclaimableBefore: Map<string, number>;
  /** Until when reclaimable instances cannot be had, by data centre. */
  readonly closedUntil: Map<string, MonotonicMilliseconds>;
}

/** One usage window on its way to the platform. */
export interface UsageWindow {
  /** The counts that the log has settled on; undefined before. */
  counts: UsageCounts | undefined;
  isReported: boolean;
  /** When the next step may be tried again. */
  retryAt: MonotonicMilliseconds;
}

export interface SingletonState {
  readonly options: SingletonOptions;
  configuration: Configuration;
  /** Set while this process holds the lease. */
  epoch: number | undefined;
  readonly usage: UsageLedger;
  /** By number. */
  readonly usageWindows: Map<number, UsageWindow>;
  readonly entries: Map<string, HeardEntry>;
  instances: readonly PlatformInstance[];
  /** Instances on the list before, until the list has stopped to grow. */
  lastListed: number;
  /** True once the list has not grown from one reading to the next. */
  isListFilled: boolean;
  /** When demand was first heard of, so that a window that is not full yet is not believed. */
  demandSince: MonotonicMilliseconds | undefined;
  /** By name. */
  readonly pools: Map<string, SizedPool>;
  now: MonotonicMilliseconds;
  wallNow: EpochMilliseconds;
}

export function makeSingletonState(options: SingletonOptions): SingletonState {
  return {
    options,
    configuration: emptyConfiguration,
    epoch: undefined,
    usage: new UsageLedger(),
    usageWindows: new Map(),
    entries: new Map(),
    instances: [],
    lastListed: 0,
    isListFilled: false,
    demandSince: undefined,
    pools: new Map(),
    now: 0,
    wallNow: 0,
  };
}
