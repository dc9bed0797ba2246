/** What an entry knows of losses of backend servers and of the requests that may cause them. */
import type { EpochMilliseconds, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** A request that ran on a backend server when it was lost. */
export interface Suspect {
  readonly digest: string;
  /** Crashes that it was in; empty while the loss is still being probed. */
  readonly crashIds: Set<string>;
  /** The loss that is still being probed, by instance. */
  lossInstance: string | undefined;
  /** How long it had run on the backend server that was lost. */
  exposure: Milliseconds;
  /** Tokens of its answer when the backend server was lost. */
  tokens: number;
  /** Forgotten after this. */
  until: MonotonicMilliseconds;
  /** Not run before this, so that peers can learn first that it is pending here. */
  readonly heldUntil?: MonotonicMilliseconds;
  /** True once it has run past the point of its crash elsewhere; see `advanceSuspects`. */
  isolationLifted?: boolean;
  /** True if its connection was reset once before, at a backend server that answered its probe. */
  resetBefore?: boolean;
}

/** The loss of a connection to a backend server, until a probe tells what was lost. */
export interface ConnectionLoss {
  readonly instance: string;
  readonly openedAt: MonotonicMilliseconds;
  /** Digests in progress there when the loss was seen. */
  readonly requestsInProgress: Map<
    string,
    { readonly exposure: Milliseconds; readonly tokens: number }
  >;
  /** Those of them whose own connection was reset. */
  readonly resetDigests: Set<string>;
}

/** A backend server that did not answer its probe. */
export interface DownServer {
  readonly since: MonotonicMilliseconds;
  probeDueAt: MonotonicMilliseconds;
  /** Digests that were in progress there. */
  readonly digests: ReadonlySet<string>;
  readonly crashId: string;
}

/** How long one digest is kept from backend servers, by both clocks. */
export interface QuarantinedDigest {
  readonly until: EpochMilliseconds;
  readonly endsAt: MonotonicMilliseconds;
}

export interface QuarantineState {
  /** Digests that no backend server may be given. */
  readonly quarantined: Map<string, QuarantinedDigest>;
  /** By digest. */
  readonly suspects: Map<string, Suspect>;
  /** Losses being probed, by instance. */
  readonly unresolvedLosses: Map<string, ConnectionLoss>;
  /** Backend servers that did not answer a probe, by instance. */
  readonly down: Map<string, DownServer>;
  /** The last crash of each backend server, by instance. */
  readonly lastCrashes: Map<
    string,
    { readonly crashId: string; readonly confirmedAt: MonotonicMilliseconds }
  >;
  /** Digests that were in a mass loss, until when that is remembered. */
  readonly massLossDigests: Map<string, MonotonicMilliseconds>;
  /** What backend servers last called themselves, where their probe tells. */
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
