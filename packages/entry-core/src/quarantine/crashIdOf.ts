/**
 * Derives crash ids, which should be the same at all entries: a request in progress at two
 * different crashes can be quarantined, so two ids for one crash could quarantine a harmless
 * request.
 */
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';

/** Without an incarnation, losses within the same time bucket share one crash id. */
const CRASH_TIME_BUCKET_MILLISECONDS = 1000;

/** A loss that is recorded this soon after a crash was confirmed belongs to that crash. */
const SAME_CRASH_WINDOW_MILLISECONDS = 1000;

/**
 * Returns the id of the previous crash if that was confirmed just before this loss. Otherwise the
 * id consists of the backend server and its last reported incarnation, or the wall-clock second of
 * the loss if none was reported. Two entries that see one crash in different seconds derive
 * different ids; attributing the crash under one id then does not exonerate the suspects recorded
 * under the other.
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
