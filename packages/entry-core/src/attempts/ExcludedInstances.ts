/**
 * The backend servers that a request must not be sent to, as a union of sets that stand elsewhere. It
 * is asked for once per choice of a server, and copying hundreds of names each time costs more than
 * the choice.
 */
import { isOutsideSlot } from '../quarantine/findIsolation.js';
import type { SuspectIsolation } from '../quarantine/QuarantineState.js';

type InstanceSet = Pick<ReadonlySet<string>, 'has'>;

export class ExcludedInstances {
  private readonly sets: InstanceSet[] = [];

  /** Set for a suspect that runs isolated from others. */
  isolation: SuspectIsolation | undefined;

  add(instances: InstanceSet): void {
    this.sets.push(instances);
  }

  has(instance: string): boolean {
    if (this.isolation !== undefined && isOutsideSlot(this.isolation, instance)) return true;
    return this.sets.some((instances) => instances.has(instance));
  }
}
