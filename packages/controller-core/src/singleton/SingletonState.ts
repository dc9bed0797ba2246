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
import type { DataCentreSize, InstanceNeed } from '../sizing/planSizes.js';
import { UsageLedger } from '../usage/UsageLedger.js';

/** What a start of the process is told. */
export interface SingletonOptions {
  /** Length of the windows of the usage report; 0 if none is due. */
  readonly usageWindow: Milliseconds;
  readonly ordersInstances: boolean;
}

/** A report of one entry, with the time it came. */
export interface ReceivedEntryReport {
  readonly report: EntryReport;
  readonly receivedAt: MonotonicMilliseconds;
}

/** One moment's need, kept for a while: capacity follows a rise at once and a fall late. */
export interface PastNeed {
  readonly at: MonotonicMilliseconds;
  readonly need: InstanceNeed;
}

/** One plan, kept as long. */
export interface PastPlan {
  readonly at: MonotonicMilliseconds;
  readonly sizes: readonly DataCentreSize[];
}

/** The last order for one kind of instances in one data centre. */
export interface AcceptedCount {
  readonly count: number;
  readonly acceptedAt: MonotonicMilliseconds;
}

/** What the platform was told last for one data centre; a kind that it was not told is missing. */
export interface AcceptedSize {
  readonly reclaimable?: AcceptedCount;
  readonly onDemand?: AcceptedCount;
}

export interface PoolSizingState {
  recentNeeds: PastNeed[];
  recentPlans: PastPlan[];
  /** By data centre. */
  readonly acceptedSizes: Map<string, AcceptedSize>;
  /** Instances that were there before any were ordered. */
  initialCount: number;
  /** When waves have taken the reclaimable instances of a data centre, and how many it had before. */
  waveTimes: MonotonicMilliseconds[];
  readonly previousReclaimable: Map<string, number>;
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
  readonly entryReports: Map<string, ReceivedEntryReport>;
  instances: readonly PlatformInstance[];
  /** Instances on the list before, until the list has stopped to grow. */
  previousListLength: number;
  /** True once the list has not grown from one reading to the next. */
  isListStable: boolean;
  /** When demand was first heard of, so that a window that is not full yet is not believed. */
  firstDemandAt: MonotonicMilliseconds | undefined;
  /** By name. */
  readonly pools: Map<string, PoolSizingState>;
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
    entryReports: new Map(),
    instances: [],
    previousListLength: 0,
    isListStable: false,
    firstDemandAt: undefined,
    pools: new Map(),
    now: 0,
    wallNow: 0,
  };
}
