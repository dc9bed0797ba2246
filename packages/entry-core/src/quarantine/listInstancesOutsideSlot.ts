/**
 * Divides the backend servers among the entries that have suspects, by time slots of the wall
 * clock. In each slot every server belongs to one entry, and suspects start only early in a slot,
 * so that their report reaches the other entries before the next slot. Two entries then never run
 * suspects on the same server. This holds while clock differences and report delays together are
 * shorter than the rest of a slot.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';

const SLOT_DURATION_MILLISECONDS = 500;

/** Suspects start only within this time from the beginning of a slot. */
const START_WINDOW_MILLISECONDS = 250;

function getWallClock(state: EntryState, now: MonotonicMilliseconds): EpochMilliseconds {
  return now + state.membership.wallOffset;
}

/**
 * Returns the backend servers on which this entry may not start a suspect now. Without reachable
 * peers that have reported pending suspects, there are none.
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
