/**
 * The values that the replicated log is made of: members, entries, messages. All are plain data, so
 * that they pass through a codec, a structured clone and the state explorer unchanged. A member is
 * identified by the random identity of its disk, never by its instance name alone: an instance
 * whose disk was lost gets a new identity, so that votes and acknowledgements of the lost disk are
 * never attributed to the empty one.
 */
import type { EpochMilliseconds, VoterAddress } from '@hornbeampond/schema';

export type MemberRole = 'voter' | 'learner';

export interface Member {
  /** Random name of the member's disk, generated together with its data folder. */
  readonly identity: string;
  readonly role: MemberRole;
  readonly address: VoterAddress;
}

export interface Membership {
  readonly members: readonly Member[];
  /** Identities that an operator removed for good; they cannot join again. */
  readonly takenOut?: readonly string[];
}

/** What an entry carries. A command is opaque to consensus. */
export type EntryBody =
  | { readonly type: 'command'; readonly command: unknown }
  | { readonly type: 'membership'; readonly membership: Membership }
  /** Appended by each new leader; committing it also commits the entries of earlier terms. */
  | { readonly type: 'noOperation' };

export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall clock of the leader that made the entry; it never decreases along the log. */
  readonly at: EpochMilliseconds;
  readonly body: EntryBody;
}

/** The part of the log that a snapshot replaces: all entries up to and including `index`. */
export interface SnapshotHeader {
  readonly index: number;
  readonly term: number;
  readonly at: EpochMilliseconds;
  /** The membership in force at `index`. */
  readonly membership: Membership;
}

/** One run of a store process on its disk. */
export interface ProcessRun {
  /** Increases with each start and is synced before the first message is sent. */
  readonly count: number;
  /** Random; distinguishes two runs that were started from copies of one disk. */
  readonly token: string;
}

/** The sender of a message. */
export interface Sender {
  readonly instance: string;
  readonly identity: string;
  readonly run: ProcessRun;
}

/** Requests a vote, or with `preVote` only asks whether one would be granted. */
export interface VoteRequest {
  readonly type: 'voteRequest';
  readonly preVote: boolean;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteResponse {
  readonly type: 'voteResponse';
  readonly preVote: boolean;
  /** The requested term if granted, otherwise the responder's term. */
  readonly term: number;
  readonly granted: boolean;
  /**
   * True if the responder has received the request and is still writing its vote to its disk. Not a
   * vote, so `granted` is false.
   */
  readonly isContactOnly?: boolean;
}

export interface AppendRequest {
  readonly type: 'appendRequest';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the leader's latest quorum round; see `reads.ts`. */
  readonly round: number;
}

export interface AppendResponse {
  readonly type: 'appendResponse';
  readonly term: number;
  readonly round: number;
  /**
   * True if the responder has received an append, but is still writing earlier ones to its disk. Says
   * nothing about its log, so `result` accepts nothing.
   */
  readonly isContactOnly?: boolean;
  /**
   * Last index on the responder's disk. If it is lower than an index acknowledged before, the disk
   * was replaced by an older copy.
   */
  readonly lastIndex: number;
  readonly result:
    | { readonly type: 'accepted'; readonly matchIndex: number }
    | {
        readonly type: 'conflict';
        readonly previousIndex: number;
        /**
         * Index to resend from. If the log is too short: its last index plus one. Otherwise the
         * first uncommitted entry of the responder's term at `previousIndex`. 0 if the request's
         * term is outdated.
         */
        readonly conflictIndex: number;
        /**
         * The responder's term at `previousIndex`; missing if the log is too short or the request's
         * term is outdated.
         */
        readonly conflictTerm?: number;
      }
    /** Part of a snapshot was received; the next part begins at `receivedBytes`. */
    | { readonly type: 'partial'; readonly index: number; readonly receivedBytes: number };
}

export interface SnapshotRequest {
  readonly type: 'snapshotRequest';
  readonly term: number;
  readonly header: SnapshotHeader;
  /** Offset of `data` in the snapshot, in bytes. */
  readonly offset: number;
  readonly data: Uint8Array;
  /** True if the snapshot ends with `data`. */
  readonly done: boolean;
  readonly round: number;
}

export const refusalReasons = [
  'otherCluster',
  'otherIdentity',
  'diskOlder',
  'runOutdated',
] as const;
export type RefusalReason = (typeof refusalReasons)[number];

/** Reports to a sender that its messages are refused, and why. */
export interface Refusal {
  readonly type: 'refusal';
  readonly reason: RefusalReason;
  /** The refused run, so that a delayed refusal does not affect a later run. */
  readonly run: ProcessRun;
}

export type ConsensusMessage =
  VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest | Refusal;

/** A message with its sender and recipient. */
export interface Envelope {
  readonly cluster: string;
  readonly from: Sender;
  /** Identity of the recipient. */
  readonly to: string;
  readonly message: ConsensusMessage;
}
