/**
 * The platform's latest list of instances, for the subscribers of this store. One process reads the
 * list and shares it with the stores, because the platform limits the rate of calls of the whole
 * cluster and entries that each read the list would exceed it.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type {
  Milliseconds,
  MonotonicMilliseconds,
  SharedInstance,
  InstanceListDelta,
} from '@hornbeampond/schema';

/** Compares as text: both come from the same codec, with their fields in the same order. */
function isEqual(one: SharedInstance | undefined, other: SharedInstance): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

export class InstanceListCache {
  private instances = new Map<string, SharedInstance>();

  private readAt: MonotonicMilliseconds | undefined;

  constructor(private readonly timers: TimerService) {}

  /** The latest list and its age, or undefined before the first list. */
  get latest(): { instances: SharedInstance[]; instancesAge: Milliseconds } | undefined {
    if (this.readAt === undefined) return undefined;
    const instancesAge = this.timers.monotonicNow() - this.readAt;
    return { instances: [...this.instances.values()], instancesAge };
  }

  /** Replaces the list and returns its differences from the previous one. */
  update(instances: readonly SharedInstance[]): InstanceListDelta {
    const before = this.instances;
    this.instances = new Map(instances.map((instance) => [instance.instance, instance]));
    this.readAt = this.timers.monotonicNow();
    return {
      changed: instances.filter((instance) => !isEqual(before.get(instance.instance), instance)),
      gone: [...before.keys()].filter((name) => !this.instances.has(name)),
    };
  }
}
