/** Maintains the instance list of a store, which is sent complete first and then as deltas. */
import type { SharedInstance, InstanceListDelta } from '@hornbeampond/schema';

export class InstanceListFollower {
  private instancesByName = new Map<string, SharedInstance>();

  /**
   * Replaces the list with the one received on subscribing to a store; empty if the store has none
   * yet.
   */
  reset(instances: readonly SharedInstance[] = []): readonly SharedInstance[] {
    this.instancesByName = new Map(instances.map((instance) => [instance.instance, instance]));
    return instances;
  }

  applyDelta({ changed, gone }: InstanceListDelta): readonly SharedInstance[] {
    gone.forEach((name) => this.instancesByName.delete(name));
    changed.forEach((instance) => this.instancesByName.set(instance.instance, instance));
    return [...this.instancesByName.values()];
  }
}
