/**
 * Commands of the replicated log and their results. Concurrent commands are decided by their order
 * in the log. Each command can be resent safely: either its fields identify a resend, or applying it
 * again does no harm.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';
import type { Fault } from '../tables/checkTables.js';
import type { TableName } from '../tables/Configuration.js';
import type { Rollout, RouteEvidence } from '../tables/Rollout.js';
import type { CallerBounds } from '../tables/workspaces.js';

/** Replaces all rows of one table if the table is still at `baseRevision`. */
export interface PutTableCommand {
  readonly type: 'putTable';
  readonly table: TableName;
  readonly baseRevision: number;
  /** Identifier that the operator chose; a resend with the same one gets the first result. */
  readonly changeId: string;
  readonly rows: readonly unknown[];
}

/**
 * Replaces all tables together. `version` is assigned by the operators, and the highest one is in
 * force. A lower or equal version changes nothing and is no error, so that a resend, or the slower
 * of two concurrent operators, gets the version in force.
 */
export interface ReplaceTablesCommand {
  readonly type: 'replaceTables';
  readonly version: number;
  readonly routes: readonly unknown[];
  readonly pools: readonly unknown[];
  readonly workspaces: readonly unknown[];
  readonly callerBounds?: CallerBounds;
  /** The document that the operator sent, stored unchanged for operators who read it. */
  readonly document: string;
}

/**
 * Largest size of headers and body together for which the body is stored. Proposers omit a larger
 * body, which would only take space in the log.
 */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** The answer of a call that may not be repeated, stored for callers who resend the call. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Missing if the answer was larger than `MAX_STORED_ANSWER_BYTES`. */
  readonly body?: Uint8Array;
}

/**
 * Claims a call that may not be repeated. Only the attempt whose claim the log has accepted may send
 * the call, and only once.
 */
export interface OpenClaimCommand {
  readonly type: 'openClaim';
  readonly workspace: string;
  readonly key: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Instance of the entry. */
  readonly holder: string;
  /** Globally unique identifier of the attempt. */
  readonly attemptId: string;
  /** Time without a settlement after which the outcome is `unknown`; the claim is not reopened. */
  readonly expiresAfter: Milliseconds;
}

/**
 * Gives up an attempt whose call was not sent and will not be. Also refuses an `openClaim` of the
 * same attempt that arrives later.
 */
export interface ReleaseClaimCommand {
  readonly type: 'releaseClaim';
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
}

/** Records the outcome of a claimed call. */
export interface SettleClaimCommand {
  readonly type: 'settleClaim';
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
  readonly outcome: 'done' | 'unknown';
  readonly answer?: StoredAnswer;
}

/** Acquires or renews a lease. */
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

/** Number of requests that began to run in one usage window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Stores the counts of one usage window, unless counts are already stored for it. */
export interface SettleUsageCommand {
  readonly type: 'settleUsage';
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Reports that a backend server crashed while requests with these digests ran on it. */
export interface ReportCrashCommand {
  readonly type: 'reportCrash';
  readonly backendServer: string;
  /** Identifier of the crash, so that it is counted once if several entries report it. */
  readonly crashId: string;
  readonly digests: readonly string[];
}

/**
 * Orders a roll-out of a pool. A resend of the latest order of the pool gets the result of the first.
 */
export interface StartRolloutCommand {
  readonly type: 'startRollout';
  readonly pool: string;
  readonly version: string;
  readonly duration: Milliseconds;
  /** Share of the requests that the new version gets at first. */
  readonly share: number;
}

/** Changes the share of a running roll-out, or ends it. */
export interface AdvanceRolloutCommand {
  readonly type: 'advanceRollout';
  readonly pool: string;
  /** Identifies the roll-out. */
  readonly startedAt: EpochMilliseconds;
  readonly phase: Rollout['phase'];
  readonly share: number;
  readonly reason?: string;
  readonly evidence?: readonly RouteEvidence[];
}

/** The exposure that operators tolerate where their platform states none. */
const DEFAULT_MAX_EXPOSURE = 0.1;

/** Leaves room for requests that are under way when a version is found to be bad. */
const FIRST_SHARE_OF_EXPOSURE = 0.75;

/**
 * Makes the command of an order.
 *
 * @param maxExposure - Share of the requests that a bad new version may get at most.
 */
export function makeStartRolloutCommand(
  order: Pick<StartRolloutCommand, 'pool' | 'version' | 'duration'>,
  maxExposure = DEFAULT_MAX_EXPOSURE,
): StartRolloutCommand {
  return { type: 'startRollout', ...order, share: maxExposure * FIRST_SHARE_OF_EXPOSURE };
}

/** A command as it is proposed to the log. */
export type StoreCommand =
  | PutTableCommand
  | ReplaceTablesCommand
  | OpenClaimCommand
  | ReleaseClaimCommand
  | SettleClaimCommand
  | TakeLeaseCommand
  | ReleaseLeaseCommand
  | ReportCrashCommand
  | SettleUsageCommand
  | StartRolloutCommand
  | AdvanceRolloutCommand;

/** A command in the log, with a timestamp of the leader that never decreases along the log. */
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
  /** `version` is the one in force, which may be higher than the proposed one. */
  | { readonly type: 'tablesReplaced'; readonly version: number }
  | { readonly type: 'tablesInvalid'; readonly faults: readonly Fault[] };

export type ClaimResult =
  | { readonly type: 'claimOpened' }
  | { readonly type: 'claimRunning' }
  | { readonly type: 'claimDone'; readonly answer?: StoredAnswer }
  | { readonly type: 'claimUnknown' }
  | { readonly type: 'claimKeyReused' }
  /** The attempt was released before its claim arrived; it may not send the call. */
  | { readonly type: 'claimBarred' }
  /** The attempt does not hold the claim. */
  | { readonly type: 'claimNotHeld' }
  /** The maximum number of claims is reached. */
  | { readonly type: 'claimsFull' }
  | { readonly type: 'claimReleased' }
  | { readonly type: 'claimSettled' };

export type LeaseResult =
  | {
      readonly type: 'leaseHeld';
      readonly epoch: number;
      readonly duration: Milliseconds;
      /** Longest duration granted in any earlier epoch; a former holder may act for that long. */
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
  /** The stored counts, which may be those of an earlier command. */
  readonly counts: UsageCounts;
}

export type RolloutResult =
  | { readonly type: 'rolloutAccepted'; readonly rollout: Rollout }
  /** Another roll-out of the pool is running. */
  | { readonly type: 'rolloutRunning'; readonly rollout: Rollout }
  | { readonly type: 'rolloutInvalid'; readonly reason: string };

export type CommandResult =
  | PutTableResult
  | ReplaceTablesResult
  | ClaimResult
  | LeaseResult
  | CrashResult
  | SettleUsageResult
  | RolloutResult;
