/** Describes the backend servers that an entry knows, for the status that operators read. */
import type { EntryState, SpeedDescription } from '@hornbeampond/entry-core';
import type { InstanceState, MonotonicMilliseconds, PlatformInstance } from '@hornbeampond/schema';

/** Price of an instance; undefined if its pool or class is not configured. */
function findPrice(
  { configuration }: EntryState,
  { pool, instanceClass }: PlatformInstance,
): number | undefined {
  const rows = configuration.pools.rows.filter(({ name }) => name === pool);
  const classes = rows.flatMap(({ instanceClasses }) => instanceClasses);
  return classes.find(({ name }) => name === instanceClass)?.eurosPerHour;
}

export interface BackendServerStatus {
  readonly instance: string;
  readonly pool: string;
  readonly dataCentre: string;
  /** Version of its software, if the platform states it. */
  readonly version?: string;
  readonly state: InstanceState;
  readonly inProgress: number;
  readonly eurosPerHour: number | undefined;
  readonly speed: SpeedDescription;
}

export function describeBackendServers(
  state: EntryState,
  now: MonotonicMilliseconds,
): BackendServerStatus[] {
  return [...state.backendServers.values()].map(
    ({ platformInstance, goneAt, isLeaving, attemptIds }) => ({
      instance: platformInstance.instance,
      pool: platformInstance.pool,
      dataCentre: platformInstance.dataCentre,
      ...(platformInstance.version === undefined ? {} : { version: platformInstance.version }),
      state: goneAt === undefined && !isLeaving ? platformInstance.state : 'leaving',
      inProgress: attemptIds.size,
      eurosPerHour: findPrice(state, platformInstance),
      speed: state.speeds.describe(platformInstance.instance, now),
    }),
  );
}
