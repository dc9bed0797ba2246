/**
 * The values that the replicated log is made of: members, entries, messages. All are plain data,
 * so that they pass through a codec, a structured clone and the state explorer unchanged.
 *
 * A member is known by the random identity of its disk, never by its instance name alone. An
 * instance whose disk was lost comes back under a new identity, so whatever the old disk has
 * promised (votes, copies of entries) can't be claimed by the empty one.
 */
import type { EpochMilliseconds, VoterAddress } from '@hornbeampond/schema';

export type MemberRole = 'voter' | 'learner';

export interface Member {
  /** Random name of the member's disk, made when its data folder was made. */
  readonly identity: string;
  readonly role: MemberRole;
  readonly address: VoterAddress;
}

export interface Membership {
  readonly members: readonly Member[];
  /** Identities that an operator has taken out; they are not let in again. */
  readonly takenOut?: readonly string[];
}

/** What an entry carries. A command is opaque to consensus. */
export type EntryBody =
  | { readonly type: 'command'; readonly command: unknown }
  | { readonly type: 'membership'; readonly membership: Membership }
  /** Written by each new leader, so that entries of earlier terms can be committed under it. */
  | { readonly type: 'noOperation' };

export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall clock of the leader that made the entry; it never goes back along the log. */
  readonly at: EpochMilliseconds;
  readonly body: EntryBody;
}

/** What a snapshot stands for: the log up to and including `index`. */
export interface SnapshotHeader {
  readonly index: number;
  readonly term: number;
  readonly at: EpochMilliseconds;
  /** The membership in force at `index`. */
  readonly membership: Membership;
}

/** One run of a store process on its disk. */
export interface ProcessRun {
  /** Grows with each start and is synced before the first message is sent. */
  readonly count: number;
  /** Random; tells two runs apart that were started from copies of one disk. */
  readonly token: string;
}

/** Who sent a message. */
export interface Sender {
  readonly instance: string;
  readonly identity: string;
  readonly run: ProcessRun;
}

/** Asks for a vote, or with `preVote` only whether one would be given. */
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
  /** The term that was asked for if granted, else the term of the responder. */
  readonly term: number;
  readonly granted: boolean;
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
  /** The responder's last index on disk; one that shrinks within a term gives away an old disk. */
  readonly lastIndex: number;
  readonly result:
    | { readonly type: 'accepted'; readonly matchIndex: number }
    | {
        readonly type: 'conflict';
        readonly previousIndex: number;
        /** Where the leader may go on; everything from here on differs or is missing. */
        readonly conflictIndex: number;
        /** Term of the differing entry; missing if the log is too short. */
        readonly conflictTerm?: number;
      }
    /** A part of a snapshot is there; the next begins at `receivedBytes`. */
    | { readonly type: 'partial'; readonly index: number; readonly receivedBytes: number };
}

export interface SnapshotRequest {
  readonly type: 'snapshotRequest';
  readonly term: number;
  readonly header: SnapshotHeader;
  /** Where `data` begins in the snapshot. */
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

/** Tells a sender that its messages don't count, and why. */
export interface Refusal {
  readonly type: 'refusal';
  readonly reason: RefusalReason;
  /** The run that is meant, so that a delayed refusal doesn't hit a later run. */
  readonly run: ProcessRun;
}

export type ConsensusMessage =
  VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest | Refusal;

/** A message on its way. */
export interface Envelope {
  readonly cluster: string;
  readonly from: Sender;
  /** Identity that the message is meant for. */
  readonly to: string;
  readonly message: ConsensusMessage;
}
