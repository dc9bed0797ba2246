/**
 * Consistent hashing of prompt prefixes that no server is known to have cached: all entries choose
 * the same backend server for a new conversation without communicating. If each entry chose on its
 * own, several servers would prefill and cache the same prefix.
 */
import { createHash } from 'node:crypto';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';

/** Enough that no server of a small pool gets much more than an equal share of the prefixes. */
const POINTS_PER_SERVER = 16;

interface RingPoint {
  readonly position: number;
  readonly server: BackendServerState;
}

function hashPosition(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
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
      servers.every((server, position) => server === this.servers[position]);
    if (isSame) return;
    this.servers = [...servers];
    this.ring = servers.flatMap(makeRingPoints).sort((a, b) => a.position - b.position);
  }

  /** The affinity target of a prefix: the first available server from its position on the ring. */
  findServer(digest: string): BackendServerState | undefined {
    const { ring } = this;
    const start = this.findFirstIndexFrom(hashPosition(digest));
    for (let step = 0; step < ring.length; step += 1) {
      const server = ring[(start + step) % ring.length]?.server;
      if (server !== undefined && isAvailable(server)) return server;
    }
    return undefined;
  }

  private findFirstIndexFrom(position: number): number {
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
