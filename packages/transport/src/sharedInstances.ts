/**
 * Converts instances to and from the form that processes exchange, in which end times are remaining
 * durations, because the clocks of processes differ.
 */
import type { EpochMilliseconds, PlatformInstance, SharedInstance } from '@hornbeampond/schema';

export function toSharedInstances(
  instances: readonly PlatformInstance[],
  wallNow: EpochMilliseconds,
): SharedInstance[] {
  return instances.map(({ goneAt, ...instance }) =>
    goneAt === undefined ? instance : { ...instance, goneIn: goneAt - wallNow },
  );
}

export function fromSharedInstances(
  instances: readonly SharedInstance[],
  wallNow: EpochMilliseconds,
): PlatformInstance[] {
  return instances.map(({ goneIn, ...instance }) =>
    goneIn === undefined ? instance : { ...instance, goneAt: wallNow + goneIn },
  );
}
