/**
 * Settings and state of one store in the replicated log. The state is plain data and changed in
 * place by the reducer alone. `persist` effects write what must survive a restart (see
 * `persistence.ts`); the rest is rebuilt by elections and appends.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { computeByteOffsets } from './estimateEntryBytes.js';
import type { Envelope, LogEntry, Membership, Sender, SnapshotHeader } from './consensusTypes.js';

/**
 * Safety rules of the protocol. Production has all of them on; tests turn one off at a time to show
 * that their checks detect the violation.
 */
export interface Safeguards {
  /** A quorum is more than half of the voters. */
  readonly quorumIsMajority: boolean;
  /** A read waits until a quorum has confirmed that the leader still leads. */
  readonly readNeedsRound: boolean;
  /** Counting copies commits only entries of the leader's own term. */
  readonly commitOwnTermOnly: boolean;
  /**
   * A membership change is refused until the previous one, and an entry of the leader's own term,
   * are committed.
   */
  readonly oneChangeAtATime: boolean;
  /** A learner becomes a voter only once it holds all committed entries. */
  readonly promoteWhenCaughtUp: boolean;
  /** A store votes for at most one candidate per term. */
  readonly oneVotePerTerm: boolean;
  /** A vote goes only to a candidate whose log is at least as up to date as the voter's. */
  readonly voteForNewerLog: boolean;
  /**
   * Responses are refused from a disk that lacks entries it acknowledged, and from an outdated run.
   */
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
  /** Minimum election timeout; each timeout is drawn between this value and its double. */
  readonly electionTimeout: Milliseconds;
  readonly heartbeatInterval: Milliseconds;
  readonly maxEntriesPerAppend: number;
  /**
   * Approximate size limit of one append, well below the largest frame of the transport. A single
   * larger entry is still sent.
   */
  readonly maxBytesPerAppend: number;
  /** Size limit of the parts in which a snapshot is sent. */
  readonly maxBytesPerSnapshotPart: number;
  /** Unanswered appends to one peer. */
  readonly maxAppendsInFlight: number;
  /** A member from which the leader receives nothing for longer than this is removed; 0: never. */
  readonly unreachableMemberTimeout: Milliseconds;
  /**
   * Number of reachable voters below which no unreachable voter is removed; values below 3 count as
   * 3.
   */
  readonly leastVoters: number;
  /** Number of uncommitted entries at which proposals are refused. */
  readonly maxUncommittedEntries: number;
  /** Number of entries that are applied between two snapshots. */
  readonly entriesPerSnapshot: number;
  /** Estimated size of the applied entries at which a snapshot is due, however few they are. */
  readonly bytesPerSnapshot: number;
  /**
   * Entries kept in memory below a snapshot, so that a member that misses only these needs no
   * snapshot.
   */
  readonly trailingEntries: number;
  /** Estimated size of those entries beyond which the oldest are dropped. */
  readonly trailingBytes: number;
  /** Estimated size of all entries after the newest snapshot at which proposals are refused. */
  readonly maxLogBytes: number;
  /**
   * Sends each new commit index to replicating peers immediately, at the cost of one message each.
   */
  readonly announceCommits: boolean;
  /** Answers the leader at once while the disk is behind, so that it stays the leader. */
  readonly acknowledgesContact: boolean;
  readonly safeguards: Safeguards;
}

const MEBIBYTE = 1024 * 1024;

/**
 * The limits in bytes leave room in the smallest deployed store, with a heap of 200 MB and a disk of
 * 128 MB. A configuration of 813 routes takes 0.75 of its estimate in the heap and 0.4 of it on the
 * disk, which also holds up to two segments of the log and two snapshots.
 */
export const defaultConsensusSettings: Omit<ConsensusSettings, 'cluster'> = {
  electionTimeout: 1000,
  heartbeatInterval: 150,
  maxEntriesPerAppend: 256,
  maxBytesPerAppend: MEBIBYTE,
  maxBytesPerSnapshotPart: 4 * MEBIBYTE,
  maxAppendsInFlight: 8,
  unreachableMemberTimeout: 10_000,
  leastVoters: 3,
  maxUncommittedEntries: 20_000,
  entriesPerSnapshot: 20_000,
  bytesPerSnapshot: 16 * MEBIBYTE,
  trailingEntries: 2_000,
  trailingBytes: 8 * MEBIBYTE,
  maxLogBytes: 48 * MEBIBYTE,
  announceCommits: true,
  acknowledgesContact: true,
  safeguards: allSafeguards,
};

/** The part of the log in memory: the entries after `base`. */
export interface MemoryLog {
  base: { index: number; term: number; at: number };
  entries: LogEntry[];
  /**
   * Estimated bytes up to the base, and then up to and including each entry; only differences count.
   */
  byteOffsets: number[];
}

/** A membership and the index of the log entry or snapshot that introduced it. */
export interface IndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** What a leader tracks about one other member. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /**
   * Entries are sent one append at a time while `probing`, pipelined while `replicating`, and not
   * at all while the peer first needs a `snapshot`.
   */
  mode: 'probing' | 'replicating' | 'snapshot';
  /** Last index of each unanswered append that carries entries. */
  inFlight: number[];
  /** Number of the latest quorum round that this peer answered; see `reads.ts`. */
  round: number;
  /** When the peer last answered an append, with what it has on its disk. */
  lastResponseAt: MonotonicMilliseconds;
  /** The same, also if its disk is still at earlier writes. */
  lastContactAt: MonotonicMilliseconds;
  snapshotSentAt: MonotonicMilliseconds;
  /** The snapshot being sent, and how many of its bytes were acknowledged. */
  snapshotIndex: number;
  acknowledgedSnapshotBytes: number;
  run?: Sender['run'];
  /** True once the peer's disk has turned out to be older than what it acknowledged. */
  diskRefused: boolean;
}

export interface PendingRead {
  readonly requestId: string;
  /** Number of the quorum round that must be answered; 0 until one begins for this read. */
  round: number;
  readIndex: number;
}

/** A message that is sent only once `batch` is on disk. */
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
      /** Voters that denied their vote. */
      rejections: string[];
      /** When the request of an election is sent again. */
      nextRequestAt: MonotonicMilliseconds;
      /** Until then answers of voters keep an election going; see `election.ts`. */
      readonly extensibleUntil: MonotonicMilliseconds;
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

/** A snapshot that is being received, in parts that all come from one leader. */
export interface IncomingSnapshot {
  readonly sender: string;
  readonly term: number;
  readonly index: number;
  parts: Uint8Array[];
  receivedBytes: number;
}

/** Changes that no `persist` effect covers yet. */
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
  /** Header of the newest snapshot, saved here or received from a leader. */
  snapshot: SnapshotHeader;
  /** True from the `takeSnapshot` effect to the `compacted` event. */
  snapshotInProgress: boolean;
  incomingSnapshot?: IncomingSnapshot;
  commitIndex: number;
  appliedIndex: number;
  /**
   * Requests that wait for the commit of their entry, in order of index; only those that this store
   * accepted as leader of the current term.
   */
  pendingRequests: { readonly index: number; readonly requestId: string }[];
  dirty: DirtyState;
  /** Number of the last batch sent to the disk, and of the last one synced. */
  lastBatch: number;
  syncedBatch: number;
  unsyncedBatches: {
    readonly batch: number;
    lastIndex: number;
    readonly writtenAt: MonotonicMilliseconds;
  }[];
  /** How long recent writes took until they were synced; falls by half at most with each write. */
  writeDuration: Milliseconds;
  /** Last index of this log that is on disk. */
  durableIndex: number;
  pendingMessages: PendingMessage[];
  /**
   * True once any write to the disk has failed; the store then neither follows, votes nor
   * campaigns, and proposals are answered with `diskFull`.
   */
  readOnly: boolean;
  /**
   * True while an event is handled, and for good if that throws: all later events are then ignored.
   */
  halted: boolean;
  /**
   * True once a peer has reported that this disk is older than its acknowledgements, or this run
   * outdated.
   */
  diskRefused: boolean;
  electionDueAt: MonotonicMilliseconds;
  /** Until then this store grants no vote: it has received from a leader, or has just started. */
  voteAfter: MonotonicMilliseconds;
  /** Until then it grants none but to the candidate it voted for, which is collecting votes. */
  supportsCandidateUntil: MonotonicMilliseconds;
  /** State of the seeded random number generator. */
  random: readonly number[];
  wakeAt: MonotonicMilliseconds;
}

/** What the disk held at the start of the process. */
export interface RestoredState {
  readonly self: Sender;
  readonly term: number;
  readonly votedFor?: string;
  readonly snapshot?: SnapshotHeader;
  readonly entries: readonly LogEntry[];
}

const EMPTY_HEADER: SnapshotHeader = { index: 0, term: 0, at: 0, membership: { members: [] } };

/** Makes the state of a store that has just started. */
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
      byteOffsets: computeByteOffsets(restored.entries),
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
    writeDuration: 0,
    durableIndex: restored.entries.at(-1)?.index ?? snapshot.index,
    pendingMessages: [],
    readOnly: false,
    halted: false,
    diskRefused: false,
    electionDueAt: Number.MAX_SAFE_INTEGER,
    voteAfter: 0,
    supportsCandidateUntil: 0,
    random: [...xoroshiro128plus(seed).getState()],
    wakeAt: Number.MAX_SAFE_INTEGER,
  };
}
