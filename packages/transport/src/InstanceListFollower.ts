/** Puts together the list of instances that a store tells its subscribers by what changes. */
import type { SharedInstance, InstanceListDelta } from '@hornbeampond/schema';

export class InstanceListFollower {
  private known = new Map<string, SharedInstance>();

  /** Begins anew with what a store has when it is subscribed to. */
  reset(instances: readonly SharedInstance[] = []): readonly SharedInstance[] {
    this.known = new Map(instances.map((instance) => [instance.instance, instance]));
    return instances;
  }

  applyDelta({ changed, gone }: InstanceListDelta): readonly SharedInstance[] {
    gone.forEach((name) => this.known.delete(name));
    changed.forEach((instance) => this.known.set(instance.instance, instance));
    return [...this.known.values()];
  }
}
