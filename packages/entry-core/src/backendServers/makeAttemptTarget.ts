/** Builds the address and protocol options of a backend server that effects pass to the shell. */
import type { Pool } from '@hornbeampond/schema';
import type { AttemptTarget } from '../entryEffects.js';
import type { BackendServerState } from './BackendServerState.js';

export function makeAttemptTarget(
  { platformInstance }: BackendServerState,
  pool: Pool | undefined,
): AttemptTarget {
  const { instance, host, port } = platformInstance;
  return {
    instance,
    host,
    port,
    kind: pool?.kind ?? 'modelEngine',
    ...(pool?.streams === undefined ? {} : { tokensPerEvent: pool.streams.tokensPerEvent }),
    ...(pool?.healthPath === undefined ? {} : { healthPath: pool.healthPath }),
  };
}
