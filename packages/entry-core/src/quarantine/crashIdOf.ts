/**
 * Derives crash ids. All entries must derive the same id for the same crash: a digest is
 * quarantined once it was in progress at two different crashes, and two ids for one crash would
 * count as two.
 */
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';

/** Without an incarnation, losses within the same time bucket share one crash id. */
const CRASH_TIME_BUCKET_MILLISECONDS = 1000;

/** A connection that is lost this soon after a crash was confirmed belongs to that crash. */
const SAME_CRASH_WINDOW_MILLISECONDS = 1000;

/**
 * Returns backend server and incarnation, or backend server and wall-clock second if no
 * incarnation is reported. Two entries that see one crash in different seconds derive different
 * ids; its suspects are then released only when their isolation is lifted.
 */
export function crashIdOf(
  state: EntryState,
  { instance, openedAt }: ConnectionLoss,
  { now, wallNow }: Timestamps,
): string {
  const last = state.quarantine.lastCrashes.get(instance);
  if (last !== undefined && openedAt - last.confirmedAt <= SAME_CRASH_WINDOW_MILLISECONDS) {
    return last.crashId;
  }
  const incarnationOrSecond =
    state.quarantine.incarnations.get(instance) ??
    `second-${Math.floor((wallNow - now + openedAt) / CRASH_TIME_BUCKET_MILLISECONDS)}`;
  return `${instance}/${incarnationOrSecond}`;
}
