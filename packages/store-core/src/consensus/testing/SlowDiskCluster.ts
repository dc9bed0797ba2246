/**
 * A model cluster in which time passes at all stores alike, messages take a few milliseconds, and each
 * sync of a disk takes a drawn time; writes that arrive during a sync share the next one.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  advanceClock,
  deliver,
  makeCluster,
  syncDisk,
  type ModelCluster,
  type ModelClusterOptions,
  type ModelMessage,
} from './modelCluster.js';

const STEP_MILLISECONDS: Milliseconds = 5;
const MAX_MESSAGE_MILLISECONDS: Milliseconds = 20;

export interface SyncDuration {
  readonly least: Milliseconds;
  readonly most: Milliseconds;
}

interface RunningSync {
  readonly writes: number;
  readonly endsAt: Milliseconds;
}

export class SlowDiskCluster {
  cluster: ModelCluster;

  now: Milliseconds = 0;

  private readonly syncs = new Map<string, RunningSync>();

  private readonly arrivals = new Map<ModelMessage, Milliseconds>();

  private readonly generator;

  constructor(
    options: ModelClusterOptions,
    private readonly syncDurationOf: (instance: string) => SyncDuration,
    seed: number,
  ) {
    this.cluster = makeCluster(options);
    this.generator = xoroshiro128plus(seed);
  }

  /** Lets time pass until `isReached`, for `limit` at most; returns the time that has passed. */
  runUntil(isReached: () => boolean, limit: Milliseconds): Milliseconds {
    const startedAt = this.now;
    while (!isReached() && this.now - startedAt < limit) this.step();
    return this.now - startedAt;
  }

  private step(): void {
    this.now += STEP_MILLISECONDS;
    Object.keys(this.cluster.voters).forEach((instance) => {
      this.cluster = advanceClock(this.cluster, instance, STEP_MILLISECONDS);
      this.finishSync(instance);
    });
    this.deliverDueMessages();
    Object.keys(this.cluster.voters).forEach((instance) => this.beginSync(instance));
  }

  private finishSync(instance: string): void {
    const sync = this.syncs.get(instance);
    if (sync === undefined || this.now < sync.endsAt) return;
    this.syncs.delete(instance);
    this.cluster = syncDisk(this.cluster, instance, sync.writes);
  }

  private beginSync(instance: string): void {
    const writes = this.cluster.voters[instance]?.pendingWrites.length ?? 0;
    if (writes === 0 || this.syncs.has(instance)) return;
    const { least, most } = this.syncDurationOf(instance);
    this.syncs.set(instance, { writes, endsAt: this.now + this.draw(least, most) });
  }

  private deliverDueMessages(): void {
    this.cluster.network.forEach((message) => {
      const arrivesAt =
        this.arrivals.get(message) ?? this.now + this.draw(1, MAX_MESSAGE_MILLISECONDS);
      this.arrivals.set(message, arrivesAt);
      if (arrivesAt > this.now) return;
      this.arrivals.delete(message);
      this.cluster = deliver(this.cluster, message, false, true);
    });
  }

  private draw(least: Milliseconds, most: Milliseconds): Milliseconds {
    return uniformInt(this.generator, least, most);
  }
}
