/**
 * Determines which other entries are live: reachable, which means that their reports have not timed
 * out, and not leaving.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { PeerState } from './MembershipState.js';

/** A peer is no longer reachable after three missed reports. */
export const PEER_TIMEOUT_MILLISECONDS = 3000;

/** How long the last report of a peer is kept. */
const PEER_REPORT_EXPIRY_MILLISECONDS = 600_000;

export function livePeers(state: EntryState): PeerState[] {
  return [...state.membership.peers.values()].filter(
    ({ isReachable: live, report }) => live && !report.leaving,
  );
}

/** Updates which peers are reachable, and removes expired ones. */
export function updatePeerReachability(state: EntryState, now: MonotonicMilliseconds): void {
  state.membership.peers.forEach((peer, instance) => {
    const sinceLastReport = now - peer.receivedAt;
    peer.isReachable = sinceLastReport < PEER_TIMEOUT_MILLISECONDS;
    if (sinceLastReport < PEER_REPORT_EXPIRY_MILLISECONDS) return;
    state.membership.peers.delete(instance);
    state.quarantine.peerSuspects.remove(instance);
  });
}
