/**
 * Which other entries count as live: heard from lately, and not leaving.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { PeerState } from './MembershipState.js';

/** A peer that was silent for so long is not counted live: three reports were lost. */
export const PEER_SILENCE_MILLISECONDS = 3000;

/** What a silent peer told is forgotten after this. */
const PEER_FORGOTTEN_MILLISECONDS = 600_000;

export function livePeers(state: EntryState): PeerState[] {
  return [...state.membership.peers.values()].filter(({ live, report }) => live && !report.leaving);
}

export function updatePeerLiveness(state: EntryState, now: MonotonicMilliseconds): void {
  state.membership.peers.forEach((peer, instance) => {
    const silence = now - peer.receivedAt;
    peer.live = silence < PEER_SILENCE_MILLISECONDS;
    if (silence >= PEER_FORGOTTEN_MILLISECONDS) state.membership.peers.delete(instance);
  });
}
