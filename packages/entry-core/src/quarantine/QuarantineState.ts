/**
 * In-memory state for finding requests that crash backend servers. A connection loss stays
 * unresolved until a probe shows whether the server crashed; requests in progress at a crash
 * become suspects, and a digest that is identified as the cause is quarantined.
 */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** A request that was in progress on a backend server when the entry lost its connection to it. */
export interface Suspect {
  readonly digest: string;
  /** Crashes at which the request was in progress; empty while its only loss is being probed. */
  readonly crashIds: Set<string>;
  /** Instance of the loss that is still being probed. */
  lossInstance: string | undefined;
  /** How long the request had run when the connection was lost. */
  exposure: Milliseconds;
  /** Number of answer tokens received when the connection was lost. */
  tokens: number;
  /** Expires at this time. */
  until: MonotonicMilliseconds;
  /** Not started before this time, so that peers first receive the report that lists it. */
  readonly heldUntil?: MonotonicMilliseconds;
  /**
   * True once the request has run past its crash point on another server; see `advanceSuspects`.
   */
  isolationLifted?: boolean;
  /** True if its connection was reset earlier although the backend server answered the probe. */
  resetBefore?: boolean;
}

/** A lost or stalled connection to a backend server, until a probe shows whether it crashed. */
export interface ConnectionLoss {
  readonly instance: string;
  readonly openedAt: MonotonicMilliseconds;
  /** Requests in progress on the server when the loss was recorded, by digest. */
  readonly requestsInProgress: Map<
    string,
    { readonly exposure: Milliseconds; readonly tokens: number }
  >;
  /** Digests whose own connection was reset. */
  readonly resetDigests: Set<string>;
}

/** A backend server that is considered crashed until it answers a probe. */
export interface DownServer {
  readonly since: MonotonicMilliseconds;
  probeDueAt: MonotonicMilliseconds;
  /** Digests that were in progress on it. */
  readonly digests: ReadonlySet<string>;
  readonly crashId: string;
}

/** When the quarantine of one digest ends, by wall clock and by monotonic clock. */
export interface QuarantinedDigest {
  readonly until: EpochMilliseconds;
  readonly endsAt: MonotonicMilliseconds;
}

export interface QuarantineState {
  /** Digests that may not be sent to any backend server. */
  readonly quarantined: Map<string, QuarantinedDigest>;
  /** By digest. */
  readonly suspects: Map<string, Suspect>;
  /** Losses being probed, by instance. */
  readonly unresolvedLosses: Map<string, ConnectionLoss>;
  /** Backend servers considered crashed, by instance. */
  readonly down: Map<string, DownServer>;
  /** Most recent crash of each backend server, by instance. */
  readonly lastCrashes: Map<
    string,
    { readonly crashId: string; readonly confirmedAt: MonotonicMilliseconds }
  >;
  /** Digests that were in progress at a mass loss, with the time at which each entry expires. */
  readonly massLossDigests: Map<string, MonotonicMilliseconds>;
  /** Most recent incarnation that each backend server reported in a probe answer, by instance. */
  readonly incarnations: Map<string, string>;
}

export function makeQuarantineState(): QuarantineState {
  return {
    quarantined: new Map(),
    suspects: new Map(),
    unresolvedLosses: new Map(),
    down: new Map(),
    lastCrashes: new Map(),
    massLossDigests: new Map(),
    incarnations: new Map(),
  };
}
