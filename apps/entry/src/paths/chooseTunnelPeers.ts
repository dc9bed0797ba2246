/**
 * Chooses the processes through which a backend server is reached while the direct path is lost.
 *
 * Paths are often lost by all processes of a data centre, so those that are asked are spread over the data
 * centres, and the own one comes last.
 */
import type { TunnelPeer } from '@hornbeampond/entry-core';

/** Others are asked in case the first is cut off as well and has not said so yet. */
const MAX_PEERS = 3;

export interface TunnelPeerChoice {
  readonly peers: readonly TunnelPeer[];
  readonly ownDataCentre: string;
  /** Those that could not reach a backend server lately which others reached. */
  readonly failing: ReadonlySet<string>;
  random(): number;
}

interface Candidate {
  readonly peer: TunnelPeer;
  /** Smaller is better. */
  readonly rank: string;
  readonly isOwnDataCentre: boolean;
  readonly tieBreaker: number;
}

function compare(a: Candidate, b: Candidate, picked: ReadonlyMap<string, number>): number {
  const countOf = ({ peer }: Candidate) => picked.get(peer.dataCentre) ?? 0;
  return (
    a.rank.localeCompare(b.rank) ||
    countOf(a) - countOf(b) ||
    Number(a.isOwnDataCentre) - Number(b.isOwnDataCentre) ||
    a.tieBreaker - b.tieBreaker
  );
}

/** In the order in which they are asked. */
export function chooseTunnelPeers(choice: TunnelPeerChoice): TunnelPeer[] {
  const { peers, ownDataCentre, failing, random } = choice;
  const remaining = peers.map((peer): Candidate => ({
    peer,
    rank: [failing.has(peer.instance), peer.lostPaths > 0, peer.isSlow].map(Number).join(''),
    isOwnDataCentre: peer.dataCentre === ownDataCentre,
    tieBreaker: random(),
  }));
  const picked = new Map<string, number>();
  const chosen: TunnelPeer[] = [];
  while (chosen.length < MAX_PEERS) {
    const [best] = remaining.sort((a, b) => compare(a, b, picked));
    if (best === undefined) break;
    remaining.shift();
    chosen.push(best.peer);
    picked.set(best.peer.dataCentre, (picked.get(best.peer.dataCentre) ?? 0) + 1);
  }
  return chosen;
}
