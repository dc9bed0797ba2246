/**
 * The state that every store derives from the log: tables, claims, leases, usage and crashes. Maps
 * whose records are removed after a time keep insertion order, and removal starts with the oldest.
 */
import {
  emptyConfiguration,
  type Configuration,
  type EpochMilliseconds,
  type Milliseconds,
  type PutTableResult,
  type StoredAnswer,
} from '@hornbeampond/schema';
import type { ConfigurationHistory } from './ConfigurationHistory.js';

/** The first result of a change id. */
export interface ChangeRecord {
  readonly at: EpochMilliseconds;
  /** Digest of the change's content; distinguishes a resend from another change with the same id. */
  readonly digest: string;
  readonly result: PutTableResult;
}

/** From `expiresAt` on, `open` is reported as `unknown`. */
export type ClaimPhase = 'open' | 'done' | 'unknown';

export interface Claim {
  readonly digest: string;
  readonly holder: string;
  readonly attemptId: string;
  readonly expiresAt: EpochMilliseconds;
  readonly phase: ClaimPhase;
  /** When the claim may be removed. */
  readonly keptUntil: EpochMilliseconds;
}

export interface Lease {
  readonly holder: string;
  readonly epoch: number;
  readonly until: EpochMilliseconds;
  /** Longest duration granted under this epoch. */
  readonly duration: Milliseconds;
  /**
   * Longest duration granted under any earlier epoch; 0 if there was none. All epochs count: the
   * log's clock may have jumped past several leases that their holders still consider valid.
   */
  readonly previousDuration: Milliseconds;
}

/** One crash of a backend server, with the digests of the requests that entries reported for it. */
export interface CrashRecord {
  readonly at: EpochMilliseconds;
  readonly digests: readonly string[];
}

export class MachineState {
  /** Time of the last command; it never goes back, even if a timestamp does. */
  lastAt: EpochMilliseconds = 0;

  configuration: Configuration = emptyConfiguration;

  /** The document sent with the last replacement of all tables, kept for operators to read back. */
  document: string | undefined;

  /** By change id, oldest first. */
  readonly changes = new Map<string, ChangeRecord>();

  /** By workspace and key (see `claimName`), in the order in which they were opened or settled. */
  readonly claims = new Map<string, Claim>();

  /** Stored answers of claims that are done, by claim name, oldest first. */
  readonly answers = new Map<string, StoredAnswer>();

  /** Total size of `answers`. */
  answerBytes = 0;

  /** By id of a released attempt, the time until which it is barred; ordered by that time. */
  readonly barredAttempts = new Map<string, EpochMilliseconds>();

  /** By name. Never removed, so that no epoch is granted twice. */
  readonly leases = new Map<string, Lease>();

  /** Counts of the latest usage windows, by window number, in the order in which they were settled. */
  readonly usage = new Map<number, Readonly<Record<string, number>>>();

  /** By crash id, in the order of their first reports. */
  readonly crashes = new Map<string, CrashRecord>();

  /** Rows affected by the latest changes. No result depends on it, so snapshots omit it. */
  readonly history: ConfigurationHistory = [];
}
