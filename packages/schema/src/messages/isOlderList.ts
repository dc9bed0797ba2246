/**
 * Tells an older list of instances from a newer one that several processes have read. A list may wait in
 * a process that stands still or on a connection that is cut for a while, and would then show servers as
 * they were, such as one that leaves as one that takes new work.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';

/** A greater difference comes from a clock that was set: connections are closed before that. */
const MAX_DELAY_MILLISECONDS: Milliseconds = 10_000;

/**
 * @param readAt - When the platform was asked for the list, by the clock of the process that read it;
 *   undefined if it does not say so.
 * @param newestReadAt - The same for the newest list so far.
 */
export function isOlderList(
  readAt: EpochMilliseconds | undefined,
  newestReadAt: EpochMilliseconds | undefined,
): boolean {
  if (readAt === undefined || newestReadAt === undefined) return false;
  return readAt < newestReadAt && newestReadAt - readAt <= MAX_DELAY_MILLISECONDS;
}
