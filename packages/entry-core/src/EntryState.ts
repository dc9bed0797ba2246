/**
 * All that an entry knows and decides from. The reducer changes it in place; nothing else does.
 */
import { emptyConfiguration, type Configuration } from '@hornbeampond/schema';
import type { AttemptState } from './attempts/AttemptState.js';
import type { BackendServerState } from './backendServers/BackendServerState.js';
import type { RequestState } from './requests/RequestState.js';

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
  shuttingDown: boolean;
}

export function makeEntryState(identity: EntryIdentity): EntryState {
  return {
    identity,
    configuration: emptyConfiguration,
    backendServers: new Map(),
    requests: new Map(),
    attempts: new Map(),
    shuttingDown: false,
  };
}
