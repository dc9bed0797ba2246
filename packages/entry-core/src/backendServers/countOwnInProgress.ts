/**
 * Counts the requests of this entry that take room at a backend server. At a brittle one these are also
 * attempts that have timed out and run on: in their place it would get as many requests again, and would
 * have to reject them.
 */
import type { EntryState } from '../EntryState.js';
import type { BackendServerState } from './BackendServerState.js';

export function countOwnInProgress(
  { brittleness }: EntryState,
  { attemptIds, timedOutAttemptIds, platformInstance }: BackendServerState,
): number {
  if (timedOutAttemptIds.size === 0) return attemptIds.size;
  const isBrittle = brittleness.isBrittle(platformInstance.instance);
  return attemptIds.size + (isBrittle ? timedOutAttemptIds.size : 0);
}
