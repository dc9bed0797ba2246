/**
 * State for finding requests that crash backend servers. A connection loss is unresolved until its
 * probe is answered or times out. Requests that lost their connection, and all that were in
 * progress at a crash, are suspects. The digest of a request that is identified as the cause is
 * quarantined.
 */
import type {
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  UnansweredRequest,
} from '@hornbeampond/schema';
import type { Timestamps } from '../entryEvents.js';
import { OwnCrashes } from './parts/OwnCrashes.js';
import { PartEvidence } from './parts/PartEvidence.js';
import { QuarantinedParts } from './parts/QuarantinedParts.js';
import { PeerSuspects } from './PeerSuspects.js';

/**
 * A request that may have crashed a backend server, as seen by this entry or reported by a peer.
 */
export interface Suspect {
  readonly digest: string;
  /** Confirmed crashes at which the request was in progress. */
  readonly crashIds: Set<string>;
  /** Backend server at which a loss of this request is being probed, if any. */
  lossInstance: string | undefined;
  /** Running time of the request until the loss was recorded. */
  exposure: Milliseconds;
  /** Number of answer tokens until the loss was recorded. */
  tokens: number;
  /** Expires at this time. */
  until: MonotonicMilliseconds;
  /** Earliest time to start the request, so that peers receive the report that lists it first. */
  readonly heldUntil?: MonotonicMilliseconds;
  /**
   * True if the request may run alongside other suspects again; set by `advanceSuspects` and
   * `recordResetsWithoutCrash`.
   */
  isolationLifted?: boolean;
  /** True if its connection was reset earlier although the backend server did not crash. */
  resetBefore?: boolean;
}

/** An attempt in progress on a backend server when a loss was recorded. */
export interface AttemptInProgress {
  readonly digest: string;
  readonly exposure: Milliseconds;
  readonly tokens: number;
  readonly parts: readonly string[];
  /** True if its answer was past its beginning. */
  readonly hasBegun: boolean;
}

/** A lost, refused or stalled connection to a backend server, whose cause a probe is to show. */
export interface ConnectionLoss {
  readonly instance: string;
  readonly openedAt: MonotonicMilliseconds;
  /** By attempt id; those whose connection turns out to have been refused are removed. */
  readonly attemptsInProgress: Map<string, AttemptInProgress>;
  /** Their requests, by digest. */
  requestsInProgress: ReadonlyMap<
    string,
    { readonly exposure: Milliseconds; readonly tokens: number }
  >;
  /** Digests of requests whose own connection was reset. */
  readonly resetDigests: Set<string>;
  /**
   * Requests in progress that had brought nothing, or hardly more; undefined if no request in progress
   * named parts of its prompt.
   */
  unanswered: readonly UnansweredRequest[] | undefined;
}

/** A backend server that is considered crashed or unreachable until it answers a probe. */
export interface DownServer {
  readonly since: MonotonicMilliseconds;
  probeDueAt: MonotonicMilliseconds;
  /** Digests of requests that were in progress on it. */
  readonly digests: ReadonlySet<string>;
  readonly crashId: string;
}

/** A request that seems to have caused a crash, until it is known what other entries have seen. */
export interface PostponedVerdict {
  readonly backendServer: string;
  readonly crashId: string;
  readonly dueAt: MonotonicMilliseconds;
}

/** When the quarantine of one digest ends, by wall clock and by monotonic clock. */
export interface QuarantinedDigest {
  readonly until: EpochMilliseconds;
  readonly endsAt: MonotonicMilliseconds;
}

/** Where suspects may run, as found at the event with these clocks. */
export interface SuspectIsolation {
  readonly clocks: Timestamps;
  readonly busyAtPeers: ReadonlySet<string>;
  /** Backend servers on which this entry may start suspects now; undefined for any. */
  readonly slotServers?: readonly string[];
  readonly inSlot?: ReadonlySet<string>;
}

export interface QuarantineState {
  /**
   * Digests whose requests may not be sent to any backend server, and keys of parts of prompts; see
   * `toPartKey`.
   */
  readonly quarantined: Map<string, QuarantinedDigest>;
  /** The parts that are quarantined, for looking up prompts. */
  readonly quarantinedParts: QuarantinedParts;
  readonly partEvidence: PartEvidence;
  readonly ownCrashes: OwnCrashes;
  /** By digest. */
  readonly postponedVerdicts: Map<string, PostponedVerdict>;
  /** By digest. */
  readonly suspects: Map<string, Suspect>;
  readonly peerSuspects: PeerSuspects;
  /** Losses being probed, by instance. */
  readonly unresolvedLosses: Map<string, ConnectionLoss>;
  /** Backend servers considered crashed or unreachable, by instance. */
  readonly down: Map<string, DownServer>;
  /** Most recent crash, or part in a mass loss, of each backend server, by instance. */
  readonly lastCrashes: Map<
    string,
    { readonly crashId: string; readonly confirmedAt: MonotonicMilliseconds }
  >;
  /** Digests of requests that were in progress at a mass loss, with their expiry time. */
  readonly massLossDigests: Map<string, MonotonicMilliseconds>;
  /** Incarnation that each backend server last reported in a probe answer, by instance. */
  readonly incarnations: Map<string, string>;
  isolation: SuspectIsolation | undefined;
}

export function makeQuarantineState(): QuarantineState {
  return {
    quarantined: new Map(),
    quarantinedParts: new QuarantinedParts(),
    partEvidence: new PartEvidence(),
    ownCrashes: new OwnCrashes(),
    postponedVerdicts: new Map(),
    suspects: new Map(),
    peerSuspects: new PeerSuspects(),
    unresolvedLosses: new Map(),
    down: new Map(),
    lastCrashes: new Map(),
    massLossDigests: new Map(),
    incarnations: new Map(),
    isolation: undefined,
  };
}
