/**
 * What happens to a voter (events) and what its shell must do about it (effects). The shell
 * carries out the effects of one event in their order before it hands in the next event.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type {
  Envelope,
  LogEntry,
  Member,
  Membership,
  RefusalReason,
  SnapshotHeader,
} from './consensusTypes.js';

interface Timestamps {
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
}

export interface Proposal {
  readonly requestId: string;
  readonly command: unknown;
}

export type MembershipChange =
  /** The learner is made a voter by the leader as soon as it has caught up. */
  | { readonly type: 'addLearner'; readonly member: Omit<Member, 'role'> }
  | { readonly type: 'removeMember'; readonly identity: string }
  /** As `removeMember`, for good: the identity is not let in again. */
  | { readonly type: 'takeOutMember'; readonly identity: string };

export type ConsensusEvent = Timestamps &
  (
    | { readonly type: 'started' }
    /** Founds a new cluster whose only voter is this one; refused unless the disk is empty. */
    | { readonly type: 'found'; readonly member: Omit<Member, 'role'> }
    | { readonly type: 'timerFired' }
    | { readonly type: 'received'; readonly envelope: Envelope }
    /** Proposals that came in together go into the log as one batch. */
    | { readonly type: 'propose'; readonly proposals: readonly Proposal[] }
    | { readonly type: 'read'; readonly requestId: string }
    | {
        readonly type: 'changeMembership';
        readonly requestId: string;
        readonly change: MembershipChange;
      }
    /** All batches up to this one are synced. */
    | { readonly type: 'persisted'; readonly batch: number }
    /** A batch could not be written; the disk takes no more. */
    | { readonly type: 'persistFailed'; readonly reason: string }
    /** The snapshot asked for by `takeSnapshot` is synced. */
    | { readonly type: 'compacted'; readonly header: SnapshotHeader }
  );

/** The fate of a request. */
export type RequestOutcome =
  /** The entry is committed; its `apply` effect came right before this reply. */
  | { readonly type: 'committed'; readonly index: number }
  /** The state machine may be read now: it holds every write acknowledged before the read came. */
  | { readonly type: 'readable'; readonly index: number }
  /** Nothing was done here; `leader` is an instance name. */
  | { readonly type: 'notLeader'; readonly leader?: string }
  /** Nothing was appended and nothing will be. */
  | { readonly type: 'unavailable'; readonly reason: UnavailableReason }
  /** Leadership was lost with the entry in the log; it may or may not be committed. */
  | { readonly type: 'unsure' };

export const unavailableReasons = [
  'diskFull',
  'logBacklog',
  'changeInProgress',
  'changeNotPossible',
] as const;
export type UnavailableReason = (typeof unavailableReasons)[number];

/** One write to the disk. Everything in it is durable, or counts for nothing. */
export interface PersistEffect {
  readonly type: 'persist';
  readonly batch: number;
  /** Present if the term or the vote has changed. */
  readonly vote?: { readonly term: number; readonly votedFor?: string };
  /** Replaces the log up to its index, and all of it where the log differs there. */
  readonly snapshot?: { readonly header: SnapshotHeader; readonly data: Uint8Array };
  /** Everything from this index on is dropped before `entries` are added. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/**
 * Sends `envelope` with a part of the newest snapshot in it; `fillSnapshotPart` puts it there. The
 * next part is asked for when this one was acknowledged.
 */
export interface SendSnapshotEffect {
  readonly type: 'sendSnapshot';
  readonly instance: string;
  readonly header: SnapshotHeader;
  readonly offset: number;
  readonly maxBytes: number;
  readonly envelope: Envelope;
}

export type ConsensusEffect =
  | PersistEffect
  | {
      readonly type: 'send';
      readonly instance: string;
      readonly envelope: Envelope;
    }
  | SendSnapshotEffect
  | { readonly type: 'apply'; readonly index: number; readonly entry: LogEntry }
  /** The state machine is to be replaced by this snapshot. */
  | { readonly type: 'restore'; readonly header: SnapshotHeader; readonly data: Uint8Array }
  /** The state machine as it is now is to be saved under this header. */
  | { readonly type: 'takeSnapshot'; readonly header: SnapshotHeader }
  /** Segments that hold nothing above this index may go. */
  | { readonly type: 'discardLog'; readonly throughIndex: number }
  | { readonly type: 'reply'; readonly requestId: string; readonly outcome: RequestOutcome }
  /** Calls for `timerFired` at this time; it replaces the time asked for before. */
  | { readonly type: 'wake'; readonly at: MonotonicMilliseconds }
  | { readonly type: 'membershipChanged'; readonly membership: Membership }
  | {
      readonly type: 'roleChanged';
      readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
      readonly term: number;
      readonly leader?: string;
    }
  /** A round of votes has ended without a quorum; names are instances. */
  | {
      readonly type: 'electionFailed';
      readonly preVote: boolean;
      readonly term: number;
      readonly quorum: number;
      readonly granted: readonly string[];
      readonly refused: readonly string[];
      /** Voters that have not answered. */
      readonly silent: readonly string[];
    }
  /** A member was taken for gone. */
  | {
      readonly type: 'silentMemberRemoved';
      readonly instance: string;
      readonly silence: Milliseconds;
    }
  /** A message was refused; for counters. */
  | { readonly type: 'messageRefused'; readonly reason: RefusalReason; readonly from: string }
  /** This disk is older than what it has promised. The shell makes a new identity and restarts. */
  | { readonly type: 'diskRefused'; readonly reason: RefusalReason };
