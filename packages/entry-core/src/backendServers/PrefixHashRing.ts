/**
 * Consistent hashing of prompt prefixes that no server is known to have cached: all entries with
 * the same list of servers choose the same one for a prefix without communicating. If the choices
 * differed, several servers would prefill and cache the same prefix.
 */
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { hashPosition } from './hashPosition.js';

/**
 * More points make the servers' shares of the prefixes more equal; the ring is sorted again
 * whenever the servers change. With 16 points the busiest of six servers has about 1.3 times its
 * share.
 */
const POINTS_PER_SERVER = 16;

interface RingPoint {
  readonly position: number;
  readonly server: BackendServerState;
}

function makeRingPoints(server: BackendServerState): RingPoint[] {
  const { instance } = server.platformInstance;
  return Array.from({ length: POINTS_PER_SERVER }, (_, number) => ({
    position: hashPosition(`${instance}/${number}`),
    server,
  }));
}

function isAvailable(server: BackendServerState): boolean {
  return acceptsNewWork(server) && server.balancing.ejectedUntil === undefined;
}

export class PrefixHashRing {
  private servers: readonly BackendServerState[] = [];

  /** Sorted by position. */
  private ring: RingPoint[] = [];

  /** Sets the servers of the pool; the ring is rebuilt only if they have changed. */
  setServers(servers: readonly BackendServerState[]): void {
    const { length } = servers;
    const isSame =
      length === this.servers.length &&
      servers.every((server, index) => server === this.servers[index]);
    if (isSame) return;
    this.servers = [...servers];
    this.ring = servers.flatMap(makeRingPoints).sort((a, b) => a.position - b.position);
  }

  /**
   * The first available server at or after the prefix's position on the ring, which wraps around.
   * Undefined if no server is available.
   */
  findServer(digest: string): BackendServerState | undefined {
    const { ring } = this;
    const start = this.findIndexAtOrAfter(hashPosition(digest));
    for (let step = 0; step < ring.length; step += 1) {
      const server = ring[(start + step) % ring.length]?.server;
      if (server !== undefined && isAvailable(server)) return server;
    }
    return undefined;
  }

  /** Binary search for the first point at or after a position. */
  private findIndexAtOrAfter(position: number): number {
    let low = 0;
    let high = this.ring.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.ring[middle]?.position ?? 0) < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
