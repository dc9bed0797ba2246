/**
 * Names of crashes.
 */
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';

/** Crashes without a name of their own are told apart by their time; see `crashIdOf`. */
const CRASH_TIME_BUCKET_MILLISECONDS = 1000;

/** Connections reset so soon after a crash was judged were lost in that same crash. */
const SAME_CRASH_WINDOW_MILLISECONDS = 1000;

/**
 * Names a crash the same way at every entry that sees it: the backend server and its incarnation.
 * Without an incarnation the second in which the loss was seen stands in. A crash that two entries
 * see on either side of its end has two names; its suspects are then cleared by their parole only.
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
  const incarnation =
    state.quarantine.incarnations.get(instance) ??
    `second-${Math.floor((wallNow - now + openedAt) / CRASH_TIME_BUCKET_MILLISECONDS)}`;
  return `${instance}/${incarnation}`;
}
