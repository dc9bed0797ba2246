/** What this entry may send to a backend server that has asked it for rest. */
import type { Milliseconds } from '@hornbeampond/schema';
import { acceptsNewWork, type BackendServerState } from '../backendServers/BackendServerState.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryState } from '../EntryState.js';

export function isResting(state: EntryState, { platformInstance }: BackendServerState): boolean {
  return state.rests.remaining(platformInstance.instance, state.clocks.now) > 0;
}

/** True while a server whose rest is over has a trial that it has not answered yet. */
export function isOnTrial(state: EntryState, { platformInstance }: BackendServerState): boolean {
  const attemptId = state.rests.trialOf(platformInstance.instance);
  return attemptId !== undefined && state.attempts.has(attemptId);
}

/** Time until some server of a pool whose servers all rest wants requests again; 0 for others. */
export function timeUntilRested(state: EntryState, pool: string): Milliseconds {
  const { now } = state.clocks;
  if (state.rests.listResting(now).length === 0) return 0;
  const servers = getPoolState(state, pool)
    .groups.flatMap((group) => [...group.candidates, ...group.ejected])
    .filter(acceptsNewWork);
  if (servers.length === 0) return 0;
  const remaining = servers.map(({ platformInstance }) =>
    state.rests.remaining(platformInstance.instance, now),
  );
  return Math.min(...remaining);
}
