/**
 * Binds the answer of a request to the software version that began it. What two versions generate does
 * not fit together, and backend servers continue after any event, so once the caller may have received
 * something, all further attempts go to servers of the same version. If no such server is left, the
 * answer ends as cut; another version would complete it with text that belongs to another answer.
 */
import type { AttemptState } from '../attempts/AttemptState.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';

/** Where the answer of a request began. */
export interface BoundVersion {
  /** Undefined if the platform did not state the version of the server. */
  readonly version: string | undefined;
  /** The server that began the answer, if another entry did not relay the beginning. */
  readonly instance?: string;
}

/** Called when the first bytes of an attempt's answer have arrived. */
export function bindVersion(
  requestState: RequestState,
  attempt: Pick<AttemptState, 'version' | 'instance'>,
): void {
  const { version, instance } = attempt;
  requestState.boundVersion ??= { version, instance };
}

/**
 * Called when an attempt has failed; `tokens` is what the caller has received on this request. One that
 * takes a stream up has received the beginning before.
 */
export function releaseUnusedVersion(requestState: RequestState, tokens: number): void {
  const isContinuation = requestState.request.resumption !== undefined;
  if (tokens === 0 && !isContinuation) requestState.boundVersion = undefined;
}

/** True if the server may continue an answer that is bound to this version. */
export function canContinue(
  state: EntryState,
  { version, instance }: BoundVersion,
  { platformInstance }: BackendServerState,
): boolean {
  if (version !== undefined) return platformInstance.version === version;
  // Of servers whose version is unknown only the same one is known to be of the same version.
  return (
    platformInstance.instance === instance || !state.versions.hasSeveral(platformInstance.pool)
  );
}

/** The servers of the pool that may not continue an answer that is bound to this version. */
export function listUnableToContinue(
  state: EntryState,
  pool: string,
  { version, instance }: BoundVersion,
): Set<string> {
  if (version !== undefined) return state.versions.listOthers(pool, version);
  if (!state.versions.hasSeveral(pool)) return new Set();
  const unable = state.versions.listOthers(pool, version);
  state.versions.listInstances(pool, version).forEach((other) => unable.add(other));
  if (instance !== undefined) unable.delete(instance);
  return unable;
}
