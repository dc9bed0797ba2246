/**
 * Divides the backend servers among the entries that have suspects, by time slots of the wall
 * clock. Each server belongs to one entry per slot, and an entry starts suspects only early in its
 * slot; its report reaches the others before the next slot. So two entries never start a suspect
 * on the same server, where a crash could not be attributed. This holds while clock differences
 * and report delays together are shorter than the rest of a slot.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';

const SLOT_DURATION_MILLISECONDS = 500;

/** Only within this time from the start of a slot may its owner start suspects. */
const START_WINDOW_MILLISECONDS = 250;

function getWallClock(state: EntryState, now: MonotonicMilliseconds): EpochMilliseconds {
  return now + state.membership.wallOffset;
}

/**
 * Returns the backend servers on which this entry may not start a suspect now. Only entries that
 * have reported pending suspects take part, so an entry that is alone never waits.
 */
export function listInstancesOutsideSlot(state: EntryState, now: MonotonicMilliseconds): string[] {
  const participants = livePeers(state)
    .filter(({ report }) => report.suspects.some(({ pending }) => pending === true))
    .map(({ report }) => report.instance);
  if (participants.length === 0) return [];
  participants.push(state.identity.instance);
  const ownIndex = participants.sort().indexOf(state.identity.instance);
  const slot = Math.floor(getWallClock(state, now) / SLOT_DURATION_MILLISECONDS);
  const isInStartWindow =
    getWallClock(state, now) % SLOT_DURATION_MILLISECONDS < START_WINDOW_MILLISECONDS;
  const instances = [...state.backendServers.keys()].sort();
  return instances.filter(
    (_, position) => !isInStartWindow || (position + slot) % participants.length !== ownIndex,
  );
}
