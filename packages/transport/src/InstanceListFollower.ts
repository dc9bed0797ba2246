/** Puts together the list of instances that a store tells its subscribers by what changes. */
import type { SharedInstance, InstanceListDelta } from '@hornbeampond/schema';

export class InstanceListFollower {
  private instancesByName = new Map<string, SharedInstance>();

  /** Begins anew with what a store has when it is subscribed to. */
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
