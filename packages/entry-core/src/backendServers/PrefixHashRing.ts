/**
 * Where a conversation that nobody is known to have computed is best begun: by consistent hashing,
 * so that all entries choose the same backend server for it without telling each other. Entries
 * that each begin it where they like compute it once each, and fill as many caches with it.
 */
import { createHash } from 'node:crypto';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';

/** With so many points on the ring the busiest of six servers has 1.3 times its share (median of 50 rings). */
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

  /** By position. */
  private ring: RingPoint[] = [];

  /** Takes in the servers of the pool; the ring is made anew only if they have changed. */
  setServers(servers: readonly BackendServerState[]): void {
    const { length } = servers;
    const isSame =
      length === this.servers.length &&
      servers.every((server, position) => server === this.servers[position]);
    if (isSame) return;
    this.servers = [...servers];
    this.ring = servers.flatMap(makeRingPoints).sort((a, b) => a.position - b.position);
  }

  /** The home of a prefix; the next one on the ring stands in for a server that is not available. */
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
