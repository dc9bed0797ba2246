/**
 * What isolates suspects from each other: the backend servers on which peers run suspects, and a
 * division of the servers among the entries that have suspects, by time slots of the wall clock. In
 * each slot every server belongs to one entry, and suspects start only early in a slot, so that their
 * report reaches the other entries before the next slot. Two entries then never run suspects on the
 * same server. This holds while clock differences and report delays together are shorter than the
 * rest of a slot.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';
import type { SuspectIsolation } from './QuarantineState.js';

const SLOT_DURATION_MILLISECONDS = 500;

/** Suspects start only within this time from the beginning of a slot. */
const START_WINDOW_MILLISECONDS = 250;

function getWallClock(state: EntryState, now: MonotonicMilliseconds): EpochMilliseconds {
  return now + state.membership.wallOffset;
}

/** The backend servers of this entry's slot, in their order; undefined if they are not divided. */
function findSlotServers(
  state: EntryState,
  now: MonotonicMilliseconds,
): readonly string[] | undefined {
  const participants = livePeers(state)
    .filter(({ report }) => state.quarantine.peerSuspects.hasPending(report.instance))
    .map(({ report }) => report.instance);
  if (participants.length === 0) return undefined;
  const wallClock = getWallClock(state, now);
  if (wallClock % SLOT_DURATION_MILLISECONDS >= START_WINDOW_MILLISECONDS) return [];
  participants.push(state.identity.instance);
  const ownIndex = participants.sort().indexOf(state.identity.instance);
  const slot = Math.floor(wallClock / SLOT_DURATION_MILLISECONDS);
  return [...state.backendServers.keys()]
    .sort()
    .filter((_, position) => (position + slot) % participants.length === ownIndex);
}

/** Backend servers on which a peer that is reachable runs a suspect. */
function findServersBusyAtPeers(state: EntryState): Set<string> {
  const { peerSuspects } = state.quarantine;
  const { peers } = state.membership;
  const isBusy = (server: string) =>
    [...peerSuspects.runningAt(server)].some((entry) => peers.get(entry)?.isReachable === true);
  return new Set(peerSuspects.busyServers.filter(isBusy));
}

/** During one event, which may ask for hundreds of requests, the result stays the same. */
export function findIsolation(state: EntryState): SuspectIsolation {
  const { quarantine, clocks } = state;
  if (quarantine.isolation?.clocks === clocks) return quarantine.isolation;
  const slotServers = findSlotServers(state, clocks.now);
  const isolation = {
    clocks,
    busyAtPeers: findServersBusyAtPeers(state),
    ...(slotServers === undefined ? {} : { slotServers, inSlot: new Set(slotServers) }),
  };
  quarantine.isolation = isolation;
  return isolation;
}

/** True for a backend server on which this entry may not start a suspect now. */
export function isOutsideSlot({ inSlot }: SuspectIsolation, instance: string): boolean {
  return inSlot !== undefined && !inSlot.has(instance);
}
