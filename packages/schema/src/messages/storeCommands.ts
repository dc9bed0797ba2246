/**
 * Commands of the replicated log and their results. The log's order decides every race. Each
 * command is safe to resend: it names its intent, and a known intent gets its first result again.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';
import type { Fault } from '../tables/checkTables.js';
import type { TableName } from '../tables/Configuration.js';
import type { CallerBounds } from '../tables/workspaces.js';

/** Replaces all rows of one table, if it is still at the revision that the change was made from. */
export interface PutTableCommand {
  readonly type: 'putTable';
  readonly table: TableName;
  readonly baseRevision: number;
  /** The operator's name for this change; a resend under it gets the first result. */
  readonly changeId: string;
  readonly rows: readonly unknown[];
}

/**
 * Replaces all tables at once under the operators' own version. The highest version is in force:
 * one that is not higher changes nothing and is no fault, so that a resend, or the slower of two
 * racing operators, is told what is in force.
 */
export interface ReplaceTablesCommand {
  readonly type: 'replaceTables';
  readonly version: number;
  readonly routes: readonly unknown[];
  readonly pools: readonly unknown[];
  readonly workspaces: readonly unknown[];
  readonly callerBounds?: CallerBounds;
  /** What the operator sent, kept as it was for those who read it back. */
  readonly document: string;
}

/**
 * Largest answer that is stored, headers and body together: an offer or a reservation is a few
 * KiB. Proposers leave a larger body out, since the log would carry it for nothing.
 */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** An answer kept for callers who send a call that may not be repeated again. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Missing if the body was above the bound on stored answers. */
  readonly body?: Uint8Array;
}

/**
 * Claims a call that may not be repeated. Only the attempt whose `attemptId` the log has
 * accepted may send it, once.
 */
export interface OpenClaimCommand {
  readonly type: 'openClaim';
  readonly workspace: string;
  readonly key: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** The entry's instance, and a name for this one attempt, unique for all time. */
  readonly holder: string;
  readonly attemptId: string;
  /** After this span without a settlement the claim reads `unknown`; it never opens again. */
  readonly expiresAfter: Milliseconds;
}

/**
 * Gives an attempt up for good: its call was not sent and never will be. It also bars an
 * `openClaim` of the same attempt that is still on its way.
 */
export interface ReleaseClaimCommand {
  readonly type: 'releaseClaim';
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
}

export interface SettleClaimCommand {
  readonly type: 'settleClaim';
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
  readonly outcome: 'done' | 'unknown';
  readonly answer?: StoredAnswer;
}

/** Takes or renews a lease. The epoch grows whenever the holder changes. */
export interface TakeLeaseCommand {
  readonly type: 'takeLease';
  readonly lease: string;
  readonly holder: string;
  readonly duration: Milliseconds;
}

export interface ReleaseLeaseCommand {
  readonly type: 'releaseLease';
  readonly lease: string;
  readonly holder: string;
  readonly epoch: number;
}

/** Requests that began to run in one usage window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Keeps the counts of one usage window, unless some are kept for it already. */
export interface SettleUsageCommand {
  readonly type: 'settleUsage';
  /** Number of the window. */
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Reports that a backend server crashed while these requests ran on it. */
export interface ReportCrashCommand {
  readonly type: 'reportCrash';
  readonly backendServer: string;
  /** Unique name of this crash, so that the entries that all saw it count it once. */
  readonly crashId: string;
  readonly digests: readonly string[];
}

/** What a proposer sends. */
export type StoreCommand =
  | PutTableCommand
  | ReplaceTablesCommand
  | OpenClaimCommand
  | ReleaseClaimCommand
  | SettleClaimCommand
  | TakeLeaseCommand
  | ReleaseLeaseCommand
  | ReportCrashCommand
  | SettleUsageCommand;

/** A command as the log keeps it: the leader stamps its wall clock, never backwards. */
export interface StampedCommand {
  readonly at: EpochMilliseconds;
  readonly command: StoreCommand;
}

export type PutTableResult =
  | { readonly type: 'tableAccepted'; readonly revision: number }
  | { readonly type: 'revisionStale'; readonly currentRevision: number }
  | { readonly type: 'tableInvalid'; readonly faults: readonly Fault[] }
  | { readonly type: 'changeIdReused' };

export type ReplaceTablesResult =
  /** `version` is the one in force, which may be a higher one. */
  | { readonly type: 'tablesReplaced'; readonly version: number }
  | { readonly type: 'tablesInvalid'; readonly faults: readonly Fault[] };

export type ClaimResult =
  | { readonly type: 'claimOpened' }
  | { readonly type: 'claimRunning' }
  | { readonly type: 'claimDone'; readonly answer?: StoredAnswer }
  | { readonly type: 'claimUnknown' }
  | { readonly type: 'claimKeyReused' }
  /** The attempt was released before; it may not send. */
  | { readonly type: 'claimBarred' }
  /** The attempt holds the claim no longer, or never did. */
  | { readonly type: 'claimNotHeld' }
  /** The bound on claims is reached; nothing was opened. */
  | { readonly type: 'claimsFull' }
  | { readonly type: 'claimReleased' }
  | { readonly type: 'claimSettled' };

export type LeaseResult =
  | {
      readonly type: 'leaseHeld';
      readonly epoch: number;
      readonly duration: Milliseconds;
      /** Longest duration granted under any earlier epoch; it may still be running out. */
      readonly previousDuration: Milliseconds;
    }
  | { readonly type: 'leaseRefused'; readonly holder: string; readonly remaining: Milliseconds }
  | { readonly type: 'leaseReleased' };

export interface CrashResult {
  readonly type: 'crashCounted';
  readonly quarantined: readonly string[];
}

export interface SettleUsageResult {
  readonly type: 'usageSettled';
  /** The counts that are kept, whoever proposed them. */
  readonly counts: UsageCounts;
}

export type CommandResult =
  | PutTableResult
  | ReplaceTablesResult
  | ClaimResult
  | LeaseResult
  | CrashResult
  | SettleUsageResult;
