/** Describes for this entry's report what it has observed of the roll-outs that run. */
import type { RolloutEvidence } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function describeRollouts(state: EntryState): RolloutEvidence[] {
  const { versions, answers } = state.rollouts;
  return [...versions.values()].flatMap(({ rollout, next }) => {
    const { pool, startedAt, share, phase } = rollout;
    const counted = answers.get(pool);
    if (phase !== 'running' || counted === undefined) return [];
    const inProgressAtPrevious = [...state.backendServers.values()]
      .filter(({ platformInstance }) => platformInstance.pool === pool)
      .filter(({ platformInstance }) => platformInstance.version !== rollout.version)
      .reduce((sum, { attemptIds }) => sum + attemptIds.size, 0);
    const { silences } = counted;
    const nextInstances = next.size;
    const routes = counted.describe();
    return [{ pool, startedAt, share, inProgressAtPrevious, routes, silences, nextInstances }];
  });
}
