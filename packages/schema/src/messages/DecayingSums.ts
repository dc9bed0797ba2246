/**
 * Sums of samples by backend server that decay with a half-life, so that a server whose speed has
 * changed for good is known by its new speed after some time. They decay when they are read, which
 * costs nothing for servers that nobody asks about.
 */
import type { Milliseconds, MonotonicMilliseconds } from '../units.js';
import { makeSpeedSums, speedKinds, type SpeedSums } from './serverSpeeds.js';

/**
 * Some hundred samples count at the rates at which all entries together sample a server, and a
 * change for good is learnt within a minute.
 */
const HALF_LIFE_MILLISECONDS: Milliseconds = 30_000;

/** Sums with fewer samples than this are as good as none. */
const MIN_COUNT = 0.05;

interface StoredSums {
  sums: SpeedSums;
  decayedAt: MonotonicMilliseconds;
}

function scale(sums: SpeedSums, factor: number): void {
  speedKinds.forEach((kind) => {
    const entry = sums[kind];
    entry.sum *= factor;
    entry.count *= factor;
  });
}

export class DecayingSums {
  private readonly servers = new Map<string, StoredSums>();

  get serverNames(): readonly string[] {
    return [...this.servers.keys()];
  }

  /** The sums of a server as of now; undefined if there are none. */
  read(server: string, now: MonotonicMilliseconds): SpeedSums | undefined {
    const stored = this.servers.get(server);
    if (stored === undefined) return undefined;
    if (now > stored.decayedAt) {
      scale(stored.sums, 0.5 ** ((now - stored.decayedAt) / HALF_LIFE_MILLISECONDS));
      stored.decayedAt = now;
    }
    return stored.sums;
  }

  add(server: string, added: SpeedSums, now: MonotonicMilliseconds): void {
    const sums = this.read(server, now) ?? makeSpeedSums();
    speedKinds.forEach((kind) => {
      const entry = sums[kind];
      entry.sum += added[kind].sum;
      entry.count += added[kind].count;
    });
    this.replace(server, sums, now);
  }

  replace(server: string, sums: SpeedSums, now: MonotonicMilliseconds): void {
    this.servers.set(server, { sums, decayedAt: now });
  }

  remove(server: string): void {
    this.servers.delete(server);
  }

  clear(): void {
    this.servers.clear();
  }

  /** Removes the servers whose samples have all decayed. */
  prune(now: MonotonicMilliseconds): void {
    this.serverNames.forEach((server) => {
      const sums = this.read(server, now);
      const isEmpty = speedKinds.every((kind) => (sums?.[kind].count ?? 0) < MIN_COUNT);
      if (isEmpty) this.remove(server);
    });
  }
}
