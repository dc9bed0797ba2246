/** Lists the other entries that accept tunnels and can be expected to serve them. */
import type { ListenAddress } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';

/** Another entry that accepts tunnels. */
export interface TunnelPeer {
  readonly instance: string;
  readonly dataCentre: string;
  readonly address: ListenAddress;
  /** Number of backend servers to which it has lost its own path. */
  readonly lostPaths: number;
  readonly isSlow: boolean;
}

export function listTunnelPeers(state: EntryState): TunnelPeer[] {
  return livePeers(state).flatMap(({ report }) => {
    const { instance, dataCentre, tunnelAddress, lostPaths = 0, slow = false } = report;
    if (tunnelAddress === undefined) return [];
    return [{ instance, dataCentre, address: tunnelAddress, lostPaths, isSlow: slow }];
  });
}
