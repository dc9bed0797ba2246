/**
 * The platform's latest list of instances, for the subscribers of this store. One process reads the
 * list and shares it with the stores, because the platform limits the rate of calls of the whole
 * cluster and entries that each read the list would exceed it.
 */
import type { TimerService } from '@hornbeampond/runtime';
import {
  isOlderList,
  type EpochMilliseconds,
  type Milliseconds,
  type MonotonicMilliseconds,
  type SharedInstance,
  type InstanceListDelta,
} from '@hornbeampond/schema';

/** The latest list, as a subscriber gets it first. */
interface LatestList {
  readonly instances: SharedInstance[];
  readonly instancesAge: Milliseconds;
  readonly instancesReadAt?: EpochMilliseconds | undefined;
}

/** Compares as text: both come from the same codec, with their fields in the same order. */
function isEqual(one: SharedInstance | undefined, other: SharedInstance): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

export class InstanceListCache {
  private instances = new Map<string, SharedInstance>();

  private receivedAt: MonotonicMilliseconds | undefined;

  private receivedWallAt: EpochMilliseconds = 0;

  /** When the platform was asked for it, by the clock of the process that read it. */
  private readAt: EpochMilliseconds | undefined;

  constructor(private readonly timers: TimerService) {}

  /** The latest list and its age, or undefined before the first list. */
  get latest(): LatestList | undefined {
    if (this.receivedAt === undefined) return undefined;
    // The monotonic clock does not count the time in which the machine was suspended.
    const instancesAge = Math.max(
      this.timers.monotonicNow() - this.receivedAt,
      this.timers.wallNow() - this.receivedWallAt,
    );
    const instances = [...this.instances.values()];
    return { instances, instancesAge, instancesReadAt: this.readAt };
  }

  /**
   * Replaces the list and returns its differences from the previous one, or undefined if the previous
   * one is newer.
   */
  update(
    instances: readonly SharedInstance[],
    readAt?: EpochMilliseconds,
  ): InstanceListDelta | undefined {
    if (isOlderList(readAt, this.readAt)) return undefined;
    const before = this.instances;
    this.instances = new Map(instances.map((instance) => [instance.instance, instance]));
    this.receivedAt = this.timers.monotonicNow();
    this.receivedWallAt = this.timers.wallNow();
    this.readAt = readAt;
    return {
      readAt,
      changed: instances.filter((instance) => !isEqual(before.get(instance.instance), instance)),
      gone: [...before.keys()].filter((name) => !this.instances.has(name)),
    };
  }
}
