/**
 * All that an entry knows and decides from. The reducer changes it in place; nothing else does.
 */
import { emptyConfiguration, type Configuration } from '@hornbeampond/schema';
import type { AttemptState } from './attempts/AttemptState.js';
import { makeRetryState, type RetryState } from './attempts/RetryState.js';
import type { BackendServerState } from './backendServers/BackendServerState.js';
import { makeMembershipState, type MembershipState } from './membership/MembershipState.js';
import { makeQuarantineState, type QuarantineState } from './quarantine/QuarantineState.js';
import { makeReclaimState, type ReclaimState } from './reclaims/ReclaimState.js';
import type { RequestState } from './requests/RequestState.js';
import { makeShutdownState, type ShutdownState } from './shutdown/ShutdownState.js';

/** What an entry is told at start. */
export interface EntryIdentity {
  readonly instance: string;
  readonly dataCentre: string;
  /** Wall clock at process start, in epoch milliseconds. */
  readonly incarnation: number;
  /** Most requests that may wait for a backend server. */
  readonly queuedRequests: number;
}

export interface EntryState {
  readonly identity: EntryIdentity;
  configuration: Configuration;
  /** By instance. */
  readonly backendServers: Map<string, BackendServerState>;
  /** Requests without a final answer, by request id. */
  readonly requests: Map<string, RequestState>;
  /** Attempts without an end, by attempt id. */
  readonly attempts: Map<string, AttemptState>;
  readonly retries: RetryState;
  readonly quarantine: QuarantineState;
  readonly reclaims: ReclaimState;
  readonly membership: MembershipState;
  readonly shutdown: ShutdownState;
  /** True once no new request is accepted; see `shutdown`. */
  shuttingDown: boolean;
}

export function makeEntryState(identity: EntryIdentity): EntryState {
  return {
    identity,
    configuration: emptyConfiguration,
    backendServers: new Map(),
    requests: new Map(),
    attempts: new Map(),
    retries: makeRetryState(`${identity.instance}/${identity.incarnation}`),
    quarantine: makeQuarantineState(),
    reclaims: makeReclaimState(),
    membership: makeMembershipState(),
    shutdown: makeShutdownState(),
    shuttingDown: false,
  };
}
