/**
 * The state that every voter derives from the log: tables, claims, leases and crashes. Maps are in
 * the order in which their entries fall due, so that what has run out is found at the front.
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

/** The first answer to a change id. */
export interface ChangeRecord {
  readonly at: EpochMilliseconds;
  /** Digest of the change's content, to tell a resend from another change under the same id. */
  readonly digest: string;
  readonly result: PutTableResult;
}

/** `open` reads as `unknown` once `expiresAt` has come. */
export type ClaimPhase = 'open' | 'done' | 'unknown';

export interface Claim {
  readonly digest: string;
  readonly holder: string;
  readonly attemptId: string;
  readonly expiresAt: EpochMilliseconds;
  readonly phase: ClaimPhase;
  /** When the claim may be forgotten. */
  readonly keptUntil: EpochMilliseconds;
}

export interface Lease {
  readonly holder: string;
  readonly epoch: number;
  readonly until: EpochMilliseconds;
  /** Longest duration granted under this epoch. */
  readonly duration: Milliseconds;
  /**
   * Longest duration granted under any earlier epoch; 0 if there was none. All of them count: the
   * log's clock may have jumped past several leases whose holders still measure them.
   */
  readonly previousDuration: Milliseconds;
}

/** One crash of a backend server with all that ran there, from all entries that reported it. */
export interface CrashRecord {
  readonly at: EpochMilliseconds;
  readonly digests: readonly string[];
}

export class MachineState {
  /** The latest time that a command was stamped with; time never goes back. */
  lastAt: EpochMilliseconds = 0;

  configuration: Configuration = emptyConfiguration;

  /** What the operator sent who replaced all tables last, for those who read it back. */
  document: string | undefined;

  /** By change id, oldest first. */
  readonly changes = new Map<string, ChangeRecord>();

  /** By workspace and key (`claimName`), in the order in which they were opened or settled. */
  readonly claims = new Map<string, Claim>();

  /** Answers of claims that are done, oldest first. */
  readonly answers = new Map<string, StoredAnswer>();

  /** Size of all `answers` together. */
  answerBytes = 0;

  /** Released attempts with the time until which they are barred, in that order. */
  readonly barredAttempts = new Map<string, EpochMilliseconds>();

  /** By name. Never dropped, since an epoch must not be given twice; one for each data centre. */
  readonly leases = new Map<string, Lease>();

  /** Counts of the latest usage windows, by number, oldest first. */
  readonly usage = new Map<number, Readonly<Record<string, number>>>();

  /** By crash id, oldest first. */
  readonly crashes = new Map<string, CrashRecord>();

  /** Which rows the latest changes touched. It decides no result, so snapshots leave it out. */
  readonly history: ConfigurationHistory = [];
}
