/**
 * Messages between entries, their requests and responses, and the state of entries that stores
 * persist. Each entry regularly sends a numbered report of its state, and changes of its work and
 * spending between reports. Receivers keep the entry report with the highest number, so that lost,
 * repeated and reordered reports do no harm.
 */
import type { ListenAddress } from '../settings/settings.js';
import type { Configuration } from '../tables/Configuration.js';
import type { RolloutEvidence } from '../tables/Rollout.js';
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '../units.js';
import type { CapacityUse } from './capacityUse.js';
import type { ServerSpeedsMessage } from './serverSpeeds.js';
import type { VersionHistoryMessage } from './VersionHistory.js';

/** A request that may have crashed backend servers, as one entry reports it. */
export interface PeerSuspect {
  readonly digest: string;
  /** Number of crashes at which the request was in progress. */
  readonly crashes: number;
  /** Identifiers of these crashes. */
  readonly crashIds?: readonly string[];
  /** Backend server on which the request runs now; other suspects are not sent there. */
  readonly runningAt?: string;
  /** True if a request of this digest is in progress at the reporting entry. */
  readonly pending?: boolean;
  /** True while a probe decides whether its last connection loss was a crash. */
  readonly judging?: boolean;
  /** Running time of the request until the loss was recorded. */
  readonly exposure?: Milliseconds;
  /** Number of answer tokens until the loss was recorded. */
  readonly tokens?: number;
  /** Set if the digest is quarantined; peers apply it even if they cannot reach a store. */
  readonly quarantinedUntil?: EpochMilliseconds;
}

/** A request that had brought nothing of its answer when its backend server crashed. */
export interface UnansweredRequest {
  readonly digest: string;
  /** The parts of its prompt that other requests may hold too. */
  readonly parts: readonly string[];
}

/** What one entry has seen of the crash of a backend server. */
export interface CrashEvidence {
  readonly backendServer: string;
  readonly pool: string;
  readonly at: EpochMilliseconds;
  readonly unanswered: readonly UnansweredRequest[];
}

/** A request with this part has got past the beginning of its answer in this pool. */
export interface SoundPart {
  readonly pool: string;
  readonly part: string;
  /** When its answer began. */
  readonly at: EpochMilliseconds;
}

/** Amounts that each workspace has spent in the last seconds, one for each second, newest first. */
export type SpendingBySecond = Readonly<Record<string, readonly number[]>>;

/**
 * Ages at which the amounts of `RecentSpending` begin: the first one was spent in the last 100 ms,
 * the last one 4 s ago or earlier.
 */
export const RECENT_SPENDING_AGES: readonly Milliseconds[] = [
  0, 100, 200, 350, 500, 700, 900, 1100, 1300, 1600, 2000, 3000, 4000,
];

/** What an entry has spent of late by age, newest first, for some of the workspaces. */
export type RecentSpending = Readonly<Record<string, readonly number[]>>;

/** When the spending in a report was spent. */
export interface SpendingTimes {
  /** When the report was sent, by the monotonic clock of its entry. */
  readonly sentAt?: MonotonicMilliseconds;
  /** Only of workspaces of which the entry has spent much; it may end before the oldest age. */
  readonly recentlySpent?: RecentSpending;
}

/** Spending of all entries as a store has persisted it, for entries that start after an outage. */
export interface PersistedSpending {
  /** When it was reported. */
  readonly at: EpochMilliseconds;
  readonly windowSpent: SpendingBySecond;
  /** Length of the period up to `at` for which the spending of all entries was known. */
  readonly windowReach: Milliseconds;
  /** Totals that each entry had reported by then, by name; later totals are compared with these. */
  readonly entries: Readonly<Record<string, EntrySpending>>;
  /**
   * For how long the store has been receiving reports; missing if all of this comes from its disk.
   */
  readonly heardFor?: Milliseconds;
}

/** Total spending of an entry since it started, by workspace. */
export interface EntrySpending {
  readonly incarnation: EpochMilliseconds;
  readonly spent: Readonly<Record<string, number>>;
}

/** The means that determine a linear regression of a delay on an amount of work. */
export interface DelayRegressionState {
  /** Number of samples behind the means; may be fractional. */
  readonly samples: number;
  readonly meanX: number;
  readonly meanY: number;
  readonly meanXX: number;
  readonly meanXY: number;
}

/** State of entries that stores persist and send to entries that start. */
export interface PersistedEntryData {
  readonly spending?: PersistedSpending;
  /** Requests that began to run in the last usage windows; not used by entries. */
  readonly usage: readonly EntryUsage[];
  /** Regression of the time to the first token on the prompt tokens to prefill, by pool. */
  readonly delays: Readonly<Record<string, DelayRegressionState>>;
  /** Digests of prompt prefixes that were computed, by backend server. */
  readonly computed: Readonly<Record<string, readonly string[]>>;
  /** Missing before the store has received a list, and from stores of older versions. */
  readonly versions?: PersistedVersions;
}

/** The software versions of backend servers, as a store has recorded them. */
export interface PersistedVersions {
  /** When the ages were taken, by the clock of the store. */
  readonly at: EpochMilliseconds;
  readonly history: VersionHistoryMessage;
}

/** Number of requests that began to run, by number of the usage window and then by workspace. */
export type UsageCountsByWindow = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Requests that began to run at an entry in its last usage windows. */
export interface EntryUsage {
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  readonly begun: UsageCountsByWindow;
}

/** What a backend server last said about its limit on requests per second. */
export interface StatedRateLimit {
  /** For all entries together; infinite if the server named no limit. */
  readonly requestsPerSecond: number;
  /** When an entry read it, by the clock of that entry. */
  readonly statedAt: EpochMilliseconds;
}

/** What a backend server last said about how many rejections it survives. */
export interface StatedBrittleness {
  /** Rejections for want of room in a second; infinite if it is not brittle. */
  readonly survivedRejections: number;
  /** When an entry read it, by the clock of that entry. */
  readonly statedAt: EpochMilliseconds;
}

/** What the last rejection by a brittle backend server showed of its room. */
export interface StatedRejection {
  /** Part of the server's concurrency limit that may be used. */
  readonly usableFraction: number;
  /** When an entry got it, by the clock of that entry. */
  readonly statedAt: EpochMilliseconds;
}

/** The state of one entry, for other entries, stores and controllers. */
export interface EntryReport extends SpendingTimes {
  readonly type: 'entryReport';
  readonly instance: string;
  readonly dataCentre: string;
  /** Wall clock at process start; a restarted entry's reports replace its earlier ones. */
  readonly incarnation: EpochMilliseconds;
  readonly sequence: number;
  readonly leaving: boolean;
  /** True while the entry's process gets too little processor time. */
  readonly slow?: boolean;
  /** Where the entry accepts tunnels to backend servers; missing if it accepts none. */
  readonly tunnelAddress?: ListenAddress;
  /** Number of backend servers to which the entry has lost its own path; missing if none. */
  readonly lostPaths?: number;
  readonly revision: number;
  /** Requests in progress by route and workspace, keyed `route/workspace`. */
  readonly inProgress: Readonly<Record<string, number>>;
  /** When each backend server under a reclaim notice will be reclaimed. */
  readonly leavingBackendServers: Readonly<Record<string, EpochMilliseconds>>;
  /** Backend servers that have said that they leave, to this entry or to others. */
  readonly departures?: readonly string[];
  /** What backend servers said lately about their limits, to this entry or to others. */
  readonly rateLimits?: Readonly<Record<string, StatedRateLimit>>;
  /** What backend servers said lately about their brittleness, to this entry or to others. */
  readonly brittleness?: Readonly<Record<string, StatedBrittleness>>;
  /** Last rejections by brittle backend servers, of requests of this entry or of others. */
  readonly rejections?: Readonly<Record<string, StatedRejection>>;
  /** What each workspace has spent of its allowance at this entry since the process started. */
  readonly spent?: Readonly<Record<string, number>>;
  /**
   * Known spending of each workspace at all entries in its last window. An entry that has just
   * started initializes it from its peers' reports.
   */
  readonly windowSpent?: SpendingBySecond;
  /**
   * Length of the period up to the report for which the spending of all entries is known; may be
   * less than a window.
   */
  readonly windowReach?: Milliseconds;
  /** Regression of the time to the first token on the prompt tokens to prefill, by pool. */
  readonly delays?: Readonly<Record<string, DelayRegressionState>>;
  /** Number of entries that this one counts, including itself and unreachable ones. */
  readonly entries?: number;
  /** Requests that began to run at this entry. */
  readonly begun?: UsageCountsByWindow;
  /** Demand by route, from which controllers size the fleet. */
  readonly demand?: readonly RouteDemandReport[];
  /** Answers of both versions, of each roll-out that runs. */
  readonly rollouts?: readonly RolloutEvidence[];
  /** Suspects and quarantined digests, so that a resend through another entry runs isolated. */
  readonly suspects: readonly PeerSuspect[];
  /** Crashes of the last seconds that may be due to a part of a prompt. */
  readonly crashEvidence?: readonly CrashEvidence[];
  /** Parts that crashes have made suspect, and that this entry knows to be sound. */
  readonly soundParts?: readonly SoundPart[];
}

/** Work of one entry at one backend server. */
export interface ServerWork {
  readonly inProgress: number;
  /** Prompt tokens that the backend server still has to prefill before the first token. */
  readonly promptTokens: number;
}

/** Changes of one entry's work, sent between reports, so that others avoid busy backend servers. */
export interface WorkReport {
  readonly type: 'workReport';
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  /** Increases with each report of this incarnation; missing in reports of older versions. */
  readonly sequence?: number;
  /** New values of all backend servers whose values have changed, by instance. */
  readonly work: Readonly<Record<string, ServerWork>>;
  /** True if the entry has no work at backend servers that `work` does not list. */
  readonly isWhole?: boolean;
  /** Digests of prompt prefixes that were computed since the last such report, by instance. */
  readonly computed: Readonly<Record<string, readonly string[]>>;
  /** Requests that began to run at this entry, in the windows whose counts have changed. */
  readonly begun?: UsageCountsByWindow;
  /** What this entry has learnt of the speeds of backend servers since the last such report. */
  readonly speeds?: ServerSpeedsMessage;
  /** This entry's use of pools; missing in most reports, and then unchanged. */
  readonly use?: CapacityUse;
}

/** Where a stream began whose caller may take it up at any entry. */
export interface StreamOrigin {
  /** The request that brought the stream's first event. */
  readonly requestId: string;
  readonly workspace: string;
  readonly pool: string;
  /** Version of the software of the backend server that began the stream. */
  readonly version: string;
  /** For how long the caller may still come back. */
  readonly lifetime: Milliseconds;
}

/** Spending of one entry, sent between two reports if much of it is unreported. */
export interface SpendingReport extends SpendingTimes {
  readonly type: 'spendingReport';
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  /** Totals since the process started, of some of the workspaces. */
  readonly spent: Readonly<Record<string, number>>;
  /** True if the entry is shutting down. */
  readonly leaving: boolean;
}

/** Work of all entries together; the arrays are parallel, which keeps the message small. */
export interface WorkSums {
  readonly servers: readonly string[];
  readonly inProgress: readonly number[];
  readonly promptTokens: readonly number[];
}

/**
 * What entries have reported to a store since its previous digest. Its size grows with what has
 * changed, and the number of digests does not grow with the number of entries.
 */
export interface EntryDigest {
  /** One more than that of the previous digest of this store. */
  readonly sequence: number;
  /**
   * The digest includes what has changed after the one with this sequence; missing if that is the
   * previous one. A receiver that has not got so far has lost a digest.
   */
  readonly since?: number;
  /** True if the receiver is to acknowledge that it has applied this digest and all before it. */
  readonly isAcknowledgementDue?: boolean;
  /** By the clock of the store; missing in digests of stores of an older version. */
  readonly publishedAt?: EpochMilliseconds;
  readonly reports: readonly EntryReport[];
  readonly spending: readonly SpendingReport[];
  /** New sums of the backend servers at which work has changed. */
  readonly work: WorkSums;
  /** The work report that the sums include, by entry; only entries for which it has changed. */
  readonly included: Readonly<Record<string, number>>;
  /** Digests of prompt prefixes that were computed, by backend server. */
  readonly computed: Readonly<Record<string, readonly string[]>>;
  /** Requests that began to run; not sent to entries. */
  readonly usage: readonly EntryUsage[];
  /** Speeds of backend servers, from the samples of all entries. */
  readonly speeds?: ServerSpeedsMessage;
  /** Use of pools by all entries; missing in most digests, and then unchanged. */
  readonly use?: CapacityUse;
}

/** Recent demand on one route at one entry or in one data centre. */
export interface RouteDemandReport {
  readonly route: string;
  /**
   * Rate of arrivals over the last ten seconds. Refused requests count, since the fleet may have been
   * too small for them; those over their workspace's allowance do not.
   */
  readonly requestsPerSecond: number;
  /** The same rate over the last few seconds, which reacts faster to an increase. */
  readonly recentPerSecond?: number;
  /** Mean time that one request occupies a concurrency slot of a busy backend server. */
  readonly serviceMilliseconds: number;
  /** The same for backend servers as they were used; missing until a request has finished. */
  readonly measuredServiceMilliseconds?: number;
  /** Finished requests behind `measuredServiceMilliseconds`. */
  readonly serviceSamples?: number;
  /** The pool that the route's requests go to. */
  readonly pool?: string;
  /** Mean prefill time of one request on a model engine, excluding cached prefixes. */
  readonly promptMilliseconds?: number;
  /** Measured prompts behind it; with 0 it is an assumption. */
  readonly promptSamples?: number;
}

/** The backend servers of one data centre that its controller has drained. */
export interface DrainedInstances {
  readonly dataCentre: string;
  /** Epoch of the controller's lease. */
  readonly epoch: number;
  readonly instances: readonly string[];
}

/** Reports that an entry sends to other entries without a request. */
export type PeerReport = EntryReport | SpendingReport | WorkReport;

/** Requests that entries and controllers send to an entry. */
export type EntryRequest =
  | { readonly type: 'peekConfiguration' }
  | { readonly type: 'exchangeFleet'; readonly drains?: DrainedInstances };

export type EntryResponse =
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  | { readonly type: 'demand'; readonly demand: readonly RouteDemandReport[] };
