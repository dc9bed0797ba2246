/**
 * What entries tell each other. Each entry sends its whole own state, numbered, on every
 * heartbeat; the newest number wins, so loss, repeats and reordering are harmless.
 */
import type { Configuration } from '../tables/Configuration.js';
import type { EpochMilliseconds, Milliseconds } from '../units.js';

/** A request that was in progress at crashes of backend servers, as one entry saw it. */
export interface PeerSuspect {
  readonly digest: string;
  readonly crashes: number;
  /** Names of these crashes. */
  readonly crashIds?: readonly string[];
  /** Backend server on which it runs again now, so that no other suspect is put there. */
  readonly runningAt?: string;
  /** True if a request of this digest is in progress at the reporting entry. */
  readonly pending?: boolean;
  /** True while it is not known yet whether its last loss was a crash. */
  readonly judging?: boolean;
  /** How long it ran before the crash, and how many tokens it had given: its probation's measure. */
  readonly exposure?: Milliseconds;
  readonly tokens?: number;
  /** Set if the digest is quarantined; entries honour it also where no store can be reached. */
  readonly quarantinedUntil?: EpochMilliseconds;
}

/** Amounts spent by workspace, each for one second: the first is the last second, and so back. */
export type SpendingBySecond = Readonly<Record<string, readonly number[]>>;

/** What a store remembers of spending when entries cannot. */
export interface PersistedSpending {
  /** When it was told. */
  readonly at: EpochMilliseconds;
  readonly windowSpent: SpendingBySecond;
  /** How far back it was known then. */
  readonly windowReach: Milliseconds;
  /** What each entry had told by then, by name: what it tells later counts from there. */
  readonly entries: Readonly<Record<string, EntrySpending>>;
}

/** What one life of an entry has spent since its start. */
export interface EntrySpending {
  readonly incarnation: EpochMilliseconds;
  readonly spent: Readonly<Record<string, number>>;
}

/** How a delay grows with work, as an entry has learnt it: the means that the line is fitted to. */
export interface DelayRegressionState {
  /** How many samples it was learnt from; a newer one counts no more than so many. */
  readonly samples: number;
  readonly meanX: number;
  readonly meanY: number;
  readonly meanXX: number;
  readonly meanXY: number;
}

/** What stores keep of entries' knowledge and tell to those that start. */
export interface PersistedEntryData {
  readonly spending?: PersistedSpending;
  /** What was told of the newest usage windows; entries themselves have no use for it. */
  readonly usage: readonly EntryUsage[];
  /** Time to the first token by prompt tokens, by pool. */
  readonly delays: Readonly<Record<string, DelayRegressionState>>;
  /** Prompt prefixes that were computed, by backend server. */
  readonly computed: Readonly<Record<string, readonly string[]>>;
}

/** Requests that began to run, by number of the usage window and then by workspace. */
export type UsageCountsByWindow = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** What one life of an entry has told of the requests that began to run there. */
export interface EntryUsage {
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  readonly begun: UsageCountsByWindow;
}

/** One entry's word on itself and on what it has seen first. */
export interface EntryReport {
  readonly type: 'entryReport';
  readonly instance: string;
  readonly dataCentre: string;
  /** Wall clock at process start; a restarted entry's reports replace its earlier ones. */
  readonly incarnation: EpochMilliseconds;
  readonly sequence: number;
  readonly leaving: boolean;
  readonly revision: number;
  /** Requests in progress by route and workspace, keyed `route/workspace`. */
  readonly inProgress: Readonly<Record<string, number>>;
  /** Backend servers on notice, with the time they will be gone. */
  readonly leavingBackendServers: Readonly<Record<string, EpochMilliseconds>>;
  /** What each workspace has spent of its allowance here since the process started. */
  readonly spent?: Readonly<Record<string, number>>;
  /**
   * What each workspace has spent of its allowance at all entries in the last window, as this one
   * knows it: an entry that has just started knows nothing of the window it starts in.
   */
  readonly windowSpent?: SpendingBySecond;
  /** How far back `windowSpent` is known there; less than a window after all have started anew. */
  readonly windowReach?: Milliseconds;
  /** What this entry has learnt of the time to the first token, by pool. */
  readonly delays?: Readonly<Record<string, DelayRegressionState>>;
  /** How many entries this one counts, itself and those that have fallen silent included. */
  readonly entries?: number;
  /** Requests of each workspace that began to run here, by number of the usage window. */
  readonly begun?: UsageCountsByWindow;
  /** What the planner of the fleet goes by. */
  readonly demand?: readonly RouteDemandReport[];
  /** Crashes seen, so that a resend through another entry is not run beside others. */
  readonly suspects: readonly PeerSuspect[];
}

/** What one entry has in progress at one backend server. */
export interface ServerWork {
  readonly inProgress: number;
  /** Tokens of prompts that are to be computed there and have no first token yet. */
  readonly promptTokens: number;
}

/** What has changed of one entry's work, told soon after so that others don't send into it. */
export interface WorkReport {
  readonly type: 'workReport';
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  /** By backend server, of those where it has changed. */
  readonly work: Readonly<Record<string, ServerWork>>;
  /** Prompt prefixes that were computed since it was told last, by backend server. */
  readonly computed: Readonly<Record<string, readonly string[]>>;
  /** Requests that began to run here, in windows whose counts have changed. */
  readonly begun?: UsageCountsByWindow;
}

/** What one entry has spent of allowances, told between two reports where it matters at once. */
export interface SpendingReport {
  readonly type: 'spendingReport';
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  /** Since the process started, of the workspaces whose spending has changed most. */
  readonly spent: Readonly<Record<string, number>>;
  /** True if the entry is shutting down. */
  readonly leaving: boolean;
}

/** Requests of one route that one entry, or one whole data centre, has seen lately. */
export interface RouteDemandReport {
  readonly route: string;
  /**
   * All that arrived within their allowances over the last ten seconds, refused ones too: they are
   * demand that the fleet was too small for.
   */
  readonly requestsPerSecond: number;
  /** The same over the last few seconds, which shows a rush sooner. */
  readonly recentPerSecond?: number;
  /** Mean time that one request keeps one place of a backend server busy. */
  readonly serviceMilliseconds: number;
  /** The pool that the route's requests go to. */
  readonly pool?: string;
  /** Mean time that a model engine computes the prompt of one request, its cache considered. */
  readonly promptMilliseconds?: number;
}

/** The backend servers of one data centre that its controller has taken out of service. */
export interface DrainedInstances {
  readonly dataCentre: string;
  /** Of the controller's lease. */
  readonly epoch: number;
  readonly instances: readonly string[];
}

/** What an entry tells others unasked. */
export type PeerReport = EntryReport | SpendingReport | WorkReport;

/** What entries and controllers ask an entry. */
export type EntryRequest =
  | { readonly type: 'peekConfiguration' }
  | { readonly type: 'exchangeFleet'; readonly drains?: DrainedInstances };

export type EntryResponse =
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  | { readonly type: 'demand'; readonly demand: readonly RouteDemandReport[] };
