/**
 * The platform's list of instances, as the processes that read it tell it to this store, for those that
 * subscribe here. One process reads it for all: the platform takes some tens of calls a second from the
 * whole cluster, and each entry reading it for itself would spend them at fifty entries.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type {
  Milliseconds,
  MonotonicMilliseconds,
  SharedInstance,
  SharedInstances,
} from '@hornbeampond/schema';

/** Both come from the same codec, with their fields in the same order. */
function isEqual(one: SharedInstance | undefined, other: SharedInstance): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

export class InstanceListCache {
  private instances = new Map<string, SharedInstance>();

  private readAt: MonotonicMilliseconds | undefined;

  constructor(private readonly timers: TimerService) {}

  /** The last reading and its age, or undefined before the first. */
  get latest(): { instances: SharedInstance[]; instancesAge: Milliseconds } | undefined {
    if (this.readAt === undefined) return undefined;
    const instancesAge = this.timers.monotonicNow() - this.readAt;
    return { instances: [...this.instances.values()], instancesAge };
  }

  /** Takes in a reading, and returns what it has changed. */
  update(instances: readonly SharedInstance[]): SharedInstances {
    const before = this.instances;
    this.instances = new Map(instances.map((instance) => [instance.instance, instance]));
    this.readAt = this.timers.monotonicNow();
    return {
      changed: instances.filter((instance) => !isEqual(before.get(instance.instance), instance)),
      gone: [...before.keys()].filter((name) => !this.instances.has(name)),
    };
  }
}
