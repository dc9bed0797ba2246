/**
 * The state of one voter. It is plain data and changed in place by the reducer alone. What must
 * outlive the process is handed to the disk by `persist` effects (see `persistence.ts`); all else
 * is rebuilt by elections and appends.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Envelope, LogEntry, Membership, Sender, SnapshotHeader } from './consensusTypes.js';

/** Safeguards that tests switch off one by one, to show that the checks notice. */
export interface Safeguards {
  /** A quorum is more than half of the voters. */
  readonly quorumIsMajority: boolean;
  /** A read waits for a round of answers that proves the leader still leads. */
  readonly readNeedsRound: boolean;
  /** Only an entry of the leader's own term is committed by counting copies. */
  readonly commitOwnTermOnly: boolean;
  /** A membership change waits until the one before is committed. */
  readonly oneChangeAtATime: boolean;
  /** A learner becomes a voter only when it holds all that is committed. */
  readonly promoteWhenCaughtUp: boolean;
  /** One vote a term. */
  readonly oneVotePerTerm: boolean;
  /** A vote goes only to a candidate whose log is at least as new. */
  readonly voteForNewerLog: boolean;
  /** A voter that acknowledged more than its disk now holds is turned away. */
  readonly oldDiskRefused: boolean;
}

export const allSafeguards: Safeguards = {
  quorumIsMajority: true,
  readNeedsRound: true,
  commitOwnTermOnly: true,
  oneChangeAtATime: true,
  promoteWhenCaughtUp: true,
  oneVotePerTerm: true,
  voteForNewerLog: true,
  oldDiskRefused: true,
};

export interface ConsensusSettings {
  readonly cluster: string;
  /** Least election timeout; the timeout is drawn between it and its double. */
  readonly electionTimeout: Milliseconds;
  readonly heartbeatInterval: Milliseconds;
  readonly maxEntriesPerAppend: number;
  /** Rough size of one append, well below the largest frame of the transport. */
  readonly maxBytesPerAppend: number;
  /** Size of the parts in which a snapshot is sent. */
  readonly maxBytesPerSnapshotPart: number;
  /** Appends under way to one peer before its first answer. */
  readonly maxAppendsInFlight: number;
  /** A member that the leader has not heard of for so long is taken for gone; 0: never. */
  readonly unreachableMemberTimeout: Milliseconds;
  /** No voter that is taken for gone is removed while fewer than so many are heard of. */
  readonly leastVoters: number;
  /** Uncommitted entries above which proposals are refused. */
  readonly maxUncommittedEntries: number;
  /** Applied entries after which a snapshot is taken. */
  readonly entriesPerSnapshot: number;
  /** Entries kept in memory below a snapshot, so that a short absence needs no snapshot. */
  readonly trailingEntries: number;
  /** Tells idle peers of each commit at once, at the price of a message. */
  readonly announceCommits: boolean;
  readonly safeguards: Safeguards;
}

export const defaultConsensusSettings: Omit<ConsensusSettings, 'cluster'> = {
  electionTimeout: 1000,
  heartbeatInterval: 150,
  maxEntriesPerAppend: 256,
  maxBytesPerAppend: 4 * 1024 * 1024,
  maxBytesPerSnapshotPart: 4 * 1024 * 1024,
  maxAppendsInFlight: 8,
  unreachableMemberTimeout: 10_000,
  leastVoters: 3,
  maxUncommittedEntries: 20_000,
  entriesPerSnapshot: 20_000,
  trailingEntries: 2_000,
  announceCommits: true,
  safeguards: allSafeguards,
};

/** The part of the log in memory: the entries after `base`. */
export interface MemoryLog {
  base: { index: number; term: number; at: number };
  entries: LogEntry[];
}

/** A membership and the index of the entry that brought it. */
export interface IndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** What a leader knows of one other member. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /** `probing` sends one append and waits; `replicating` runs ahead; `snapshot` waits for one. */
  mode: 'probing' | 'replicating' | 'snapshot';
  /** Last indexes of the appends under way. */
  inFlight: number[];
  /** Latest quorum round answered. */
  round: number;
  lastResponseAt: MonotonicMilliseconds;
  snapshotSentAt: MonotonicMilliseconds;
  /** The snapshot being sent, and how much of it was acknowledged. */
  snapshotIndex: number;
  acknowledgedSnapshotBytes: number;
  run?: Sender['run'];
  /** True once its disk has shown to be older than what it acknowledged. */
  diskRefused: boolean;
}

export interface PendingRead {
  readonly requestId: string;
  /** Round that must be answered by a quorum; 0 while the read waits for one to begin. */
  round: number;
  readIndex: number;
}

/** A message that is held back until a batch is on disk. */
export interface PendingMessage {
  readonly batch: number;
  readonly instance: string;
  readonly envelope: Envelope;
}

export type RoleState =
  | { readonly type: 'follower'; leader?: string }
  | {
      readonly type: 'candidate';
      readonly preVote: boolean;
      votes: string[];
      /** Voters that answered no. */
      rejections: string[];
    }
  | {
      readonly type: 'leader';
      progress: Record<string, Progress>;
      round: number;
      reads: PendingRead[];
      /** Index of the first entry of this term. */
      readonly termStartIndex: number;
      nextHeartbeatAt: MonotonicMilliseconds;
    };

export type LeaderState = Extract<RoleState, { type: 'leader' }>;

/** A snapshot that is coming in, in parts that all come from one leader. */
export interface IncomingSnapshot {
  readonly sender: string;
  readonly term: number;
  readonly index: number;
  parts: Uint8Array[];
  receivedBytes: number;
}

/** Changes not yet handed to the disk. */
export interface DirtyState {
  vote: boolean;
  truncateFrom?: number;
  firstNewIndex?: number;
  snapshot?: { header: SnapshotHeader; data: Uint8Array };
}

export interface ConsensusState {
  readonly settings: ConsensusSettings;
  readonly self: Sender;
  term: number;
  votedFor?: string;
  role: RoleState;
  log: MemoryLog;
  memberships: IndexedMembership[];
  /** The newest snapshot on disk. */
  snapshot: SnapshotHeader;
  snapshotInProgress: boolean;
  incomingSnapshot?: IncomingSnapshot;
  commitIndex: number;
  appliedIndex: number;
  /** Requests waiting for their entry, by index; only ours as the leader of this term. */
  pendingRequests: { readonly index: number; readonly requestId: string }[];
  dirty: DirtyState;
  /** Number of the last batch handed to the disk, and of the last one synced. */
  lastBatch: number;
  syncedBatch: number;
  unsyncedBatches: { readonly batch: number; lastIndex: number }[];
  /** Last index of our log that is on our disk. */
  durableIndex: number;
  pendingMessages: PendingMessage[];
  readOnly: boolean;
  /** True once an event has failed half-way; nothing is done or promised from then on. */
  halted: boolean;
  /** True once a peer has shown that this disk is older than its promises. */
  diskRefused: boolean;
  electionDueAt: MonotonicMilliseconds;
  /** Until then this voter votes for no one: it has heard a leader, or has just started. */
  voteAfter: MonotonicMilliseconds;
  /** State of the seeded generator. */
  random: readonly number[];
  wakeAt: MonotonicMilliseconds;
}

/** What was read from the disk. */
export interface RestoredState {
  readonly self: Sender;
  readonly term: number;
  readonly votedFor?: string;
  readonly snapshot?: SnapshotHeader;
  readonly entries: readonly LogEntry[];
}

const EMPTY_HEADER: SnapshotHeader = { index: 0, term: 0, at: 0, membership: { members: [] } };

/** Makes the state of a voter that has just started, from what its disk holds. */
export function createConsensusState(
  settings: ConsensusSettings,
  restored: RestoredState,
  seed: number,
): ConsensusState {
  const snapshot = restored.snapshot ?? EMPTY_HEADER;
  const memberships = [{ index: snapshot.index, membership: snapshot.membership }];
  restored.entries.forEach((entry) => {
    if (entry.body.type === 'membership') {
      memberships.push({ index: entry.index, membership: entry.body.membership });
    }
  });
  return {
    settings,
    self: restored.self,
    term: restored.term,
    votedFor: restored.votedFor,
    role: { type: 'follower' },
    log: {
      base: { index: snapshot.index, term: snapshot.term, at: snapshot.at },
      entries: [...restored.entries],
    },
    memberships,
    snapshot,
    snapshotInProgress: false,
    commitIndex: snapshot.index,
    appliedIndex: snapshot.index,
    pendingRequests: [],
    dirty: { vote: false },
    lastBatch: 0,
    syncedBatch: 0,
    unsyncedBatches: [],
    durableIndex: restored.entries.at(-1)?.index ?? snapshot.index,
    pendingMessages: [],
    readOnly: false,
    halted: false,
    diskRefused: false,
    electionDueAt: Number.MAX_SAFE_INTEGER,
    voteAfter: 0,
    random: [...xoroshiro128plus(seed).getState()],
    wakeAt: Number.MAX_SAFE_INTEGER,
  };
}
