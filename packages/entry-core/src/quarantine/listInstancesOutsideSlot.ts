/**
 * Turns by which several entries share out the backend servers for their suspects, without a
 * message per request.
 *
 * All entries see the same crash at the same time, and all look for places for their suspects at
 * once. Without turns two of them pick the same backend server; when it crashes, each finds exactly
 * one suspect of its own there, and an innocent request is named. With turns each backend server
 * belongs to one entry in each slot of wall-clock time, and an entry starts suspects only early in
 * its slot. By the next slot its report has told the others where they run.
 *
 * Only entries that have reported suspects of their own take turns, so one that is alone need not
 * wait; a new suspect is therefore reported before it is run. It holds while wall clocks differ, and
 * reports take, less than the quiet part of a slot together, and entries hear each other.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';

const SLOT_DURATION_MILLISECONDS = 500;

/** Part of a slot in which its owner may start suspects. */
const START_WINDOW_MILLISECONDS = 250;

function wallClock(state: EntryState, now: MonotonicMilliseconds): EpochMilliseconds {
  return now + state.membership.wallOffset;
}

/** Backend servers at which this entry may not start a suspect now. */
export function listInstancesOutsideSlot(state: EntryState, now: MonotonicMilliseconds): string[] {
  const participants = livePeers(state)
    .filter(({ report }) => report.suspects.some(({ pending }) => pending === true))
    .map(({ report }) => report.instance);
  if (participants.length === 0) return [];
  participants.push(state.identity.instance);
  const ownIndex = participants.sort().indexOf(state.identity.instance);
  const slot = Math.floor(wallClock(state, now) / SLOT_DURATION_MILLISECONDS);
  const isInStartWindow =
    wallClock(state, now) % SLOT_DURATION_MILLISECONDS < START_WINDOW_MILLISECONDS;
  const instances = [...state.backendServers.keys()].sort();
  return instances.filter(
    (_, rank) => !isInStartWindow || (rank + slot) % participants.length !== ownIndex,
  );
}
