/**
 * State of the process that reports usage and sizes pools for the whole cluster. Every process that
 * may acquire the lease keeps what it receives up to date, so that a new holder can act
 * immediately; the sizing state of the pools is built up anew by each holder.
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
import { RolloutLedger } from '../rollouts/RolloutLedger.js';
import type { SlownessTest } from '../rollouts/SlownessTest.js';
import { UsageLedger } from '../usage/UsageLedger.js';

/** Options of the process. */
export interface SingletonOptions {
  /** Length of a usage window; 0 if no usage is reported. */
  readonly usageWindow: Milliseconds;
  /** False if the platform takes no orders for instance counts. */
  readonly ordersInstances: boolean;
}

/** The latest report of one entry. */
export interface ReceivedEntryReport {
  readonly report: EntryReport;
  readonly receivedAt: MonotonicMilliseconds;
}

/** The need at one time; capacity falls only after the recent needs are all lower. */
export interface PastNeed {
  readonly at: MonotonicMilliseconds;
  readonly need: InstanceNeed;
}

/** The plan made at one time, in the pool's order of data centres. */
export interface PastPlan {
  readonly at: MonotonicMilliseconds;
  readonly sizes: readonly DataCentreSize[];
}

/** The last order that the platform accepted for one kind of instances in one data centre. */
export interface AcceptedCount {
  readonly count: number;
  readonly acceptedAt: MonotonicMilliseconds;
}

/** The last accepted orders for one data centre; a kind without one is missing. */
export interface AcceptedSize {
  readonly reclaimable?: AcceptedCount;
  readonly onDemand?: AcceptedCount;
}

/** What the lease holder keeps to size one pool. */
export interface PoolSizingState {
  recentNeeds: PastNeed[];
  recentPlans: PastPlan[];
  /** By data centre. */
  readonly acceptedSizes: Map<string, AcceptedSize>;
  /**
   * Listed instances of the more numerous kind, recorded until the list is stable. The need is at
   * least this until demand is measured.
   */
  initialCount: number;
  /** When recent waves were detected, one for each data centre that lost its instances. */
  waveTimes: MonotonicMilliseconds[];
  /** Live reclaimable instances in the previous list, by data centre. */
  readonly previousReclaimable: Map<string, number>;
  /**
   * Data centres whose last order of reclaimable instances was refused, and when the next one may be
   * sent.
   */
  readonly closures: Map<string, MonotonicMilliseconds>;
}

/** Progress of one usage window: its counts are settled in the replicated log, then reported. */
export interface UsageWindow {
  /** The settled counts; undefined until the log has them. */
  counts: UsageCounts | undefined;
  isReported: boolean;
  /** When the pending step may be repeated. */
  retryAt: MonotonicMilliseconds;
}

/** What one process knows of a roll-out that runs. */
export interface RolloutProgress {
  readonly startedAt: EpochMilliseconds;
  share: number;
  /** Since when this process has known the share to be in force. */
  shareSince: MonotonicMilliseconds;
  /** The step that is due, and since when. */
  due?: { readonly step: string; readonly since: MonotonicMilliseconds };
  proposedAt: MonotonicMilliseconds;
  /** By route. */
  readonly slowness: Map<string, SlownessTest>;
}

export interface SingletonState {
  readonly options: SingletonOptions;
  configuration: Configuration;
  /** Epoch of the lease; undefined while this process does not hold it. */
  epoch: number | undefined;
  readonly usage: UsageLedger;
  /** Answers of both versions of the roll-outs that run. */
  readonly rollouts: RolloutLedger;
  /** What this process knows of the roll-outs that run, by pool. */
  readonly rolloutProgress: Map<string, RolloutProgress>;
  /** By window number. */
  readonly usageWindows: Map<number, UsageWindow>;
  /** By entry. */
  readonly entryReports: Map<string, ReceivedEntryReport>;
  /** The platform's latest list. */
  instances: readonly PlatformInstance[];
  /** Length of the last list that was not empty. */
  previousListLength: number;
  /** True once a list was not longer than the previous one; it grows while a cluster starts. */
  isListStable: boolean;
  /** When demand was first reported. Rates are too low until their window is full. */
  firstDemandAt: MonotonicMilliseconds | undefined;
  /** By pool name. */
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
    rollouts: new RolloutLedger(),
    rolloutProgress: new Map(),
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
