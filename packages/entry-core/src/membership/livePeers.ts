/**
 * Which other entries count as live: heard from lately, and not leaving.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { PeerState } from './MembershipState.js';

/** A peer that was silent for so long is not counted live: three reports were lost. */
export const PEER_TIMEOUT_MILLISECONDS = 3000;

/** What a silent peer told is forgotten after this. */
const PEER_EXPIRY_MILLISECONDS = 600_000;

export function livePeers(state: EntryState): PeerState[] {
  return [...state.membership.peers.values()].filter(({ live, report }) => live && !report.leaving);
}

export function updatePeerLiveness(state: EntryState, now: MonotonicMilliseconds): void {
  state.membership.peers.forEach((peer, instance) => {
    const sinceLastReport = now - peer.receivedAt;
    peer.live = sinceLastReport < PEER_TIMEOUT_MILLISECONDS;
    if (sinceLastReport >= PEER_EXPIRY_MILLISECONDS) state.membership.peers.delete(instance);
  });
}
