/**
 * Inputs of the consensus reducer (events), its outputs (effects) and the outcomes of requests. The
 * store process carries out the effects of one event in order before it passes in the next event.
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
  /** The leader makes the learner a voter as soon as it has caught up. */
  | { readonly type: 'addLearner'; readonly member: Omit<Member, 'role'> }
  | { readonly type: 'removeMember'; readonly identity: string }
  /** As `removeMember`, but the identity cannot join again. */
  | { readonly type: 'takeOutMember'; readonly identity: string };

export type ConsensusEvent = Timestamps &
  (
    | { readonly type: 'started' }
    /** Founds a new cluster with this store as its only voter; ignored unless the disk is empty. */
    | { readonly type: 'found'; readonly member: Omit<Member, 'role'> }
    | { readonly type: 'timerFired' }
    | { readonly type: 'received'; readonly envelope: Envelope }
    /** Proposals that arrived together are appended in one step and written as one batch. */
    | { readonly type: 'propose'; readonly proposals: readonly Proposal[] }
    | { readonly type: 'read'; readonly requestId: string }
    | {
        readonly type: 'changeMembership';
        readonly requestId: string;
        readonly change: MembershipChange;
      }
    /** All batches up to this one are synced. */
    | { readonly type: 'persisted'; readonly batch: number }
    /** A batch could not be written; the disk accepts no further writes. */
    | { readonly type: 'persistFailed'; readonly reason: string }
    /** The snapshot requested by `takeSnapshot` is synced. */
    | { readonly type: 'compacted'; readonly header: SnapshotHeader }
  );

/** The result of a proposal, a read or a membership change. */
export type RequestOutcome =
  /** The entry is committed; its `apply` effect comes directly before this reply. */
  | { readonly type: 'committed'; readonly index: number }
  /**
   * The state machine may be read now: it holds every write acknowledged before the read arrived.
   */
  | { readonly type: 'readable'; readonly index: number }
  /** The request had no effect here; `leader` is the instance name of the leader, if known. */
  | { readonly type: 'notLeader'; readonly leader?: string }
  /** Nothing was appended for this request. */
  | { readonly type: 'unavailable'; readonly reason: UnavailableReason }
  /** Leadership was lost after the entry was appended; it may or may not be committed. */
  | { readonly type: 'unsure' };

export const unavailableReasons = [
  'diskFull',
  'logBacklog',
  'changeInProgress',
  'changeNotPossible',
] as const;
export type UnavailableReason = (typeof unavailableReasons)[number];

/** One write to the disk. It is durable as a whole or not at all. */
export interface PersistEffect {
  readonly type: 'persist';
  readonly batch: number;
  /** Present if the term or the vote has changed. */
  readonly vote?: { readonly term: number; readonly votedFor?: string };
  /** Replaces the log up to its index, or all of it if the log has no entry of that term there. */
  readonly snapshot?: { readonly header: SnapshotHeader; readonly data: Uint8Array };
  /** All entries from this index on are dropped before `entries` are added. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

/**
 * Sends `envelope` with a part of the newest snapshot, which `fillSnapshotPart` adds. The next part
 * is sent once this one is acknowledged.
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
  /** Replaces the state machine by this snapshot. */
  | { readonly type: 'restore'; readonly header: SnapshotHeader; readonly data: Uint8Array }
  /** Saves the current state machine under this header. */
  | { readonly type: 'takeSnapshot'; readonly header: SnapshotHeader }
  /** Log segments without entries above this index may be deleted. */
  | { readonly type: 'discardLog'; readonly throughIndex: number }
  | { readonly type: 'reply'; readonly requestId: string; readonly outcome: RequestOutcome }
  /** Requests `timerFired` at this time, in place of the time requested before. */
  | { readonly type: 'wake'; readonly at: MonotonicMilliseconds }
  | { readonly type: 'membershipChanged'; readonly membership: Membership }
  | {
      readonly type: 'roleChanged';
      readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
      readonly term: number;
      readonly leader?: string;
    }
  /** A pre-vote or an election has ended without a quorum; names are instances. */
  | {
      readonly type: 'electionFailed';
      readonly preVote: boolean;
      readonly term: number;
      readonly quorum: number;
      readonly granted: readonly string[];
      readonly refused: readonly string[];
      /** Voters that did not answer. */
      readonly silent: readonly string[];
    }
  /** The leader has appended the removal of an unreachable member. */
  | {
      readonly type: 'silentMemberRemoved';
      readonly instance: string;
      /** Time since the member's last response. */
      readonly silence: Milliseconds;
    }
  /** A message was refused. */
  | { readonly type: 'messageRefused'; readonly reason: RefusalReason; readonly from: string }
  /**
   * Peers refuse this disk as older than its acknowledgements, or this run as outdated. The store
   * process makes a new identity and restarts.
   */
  | { readonly type: 'diskRefused'; readonly reason: RefusalReason };
