/**
 * Sorts the instances of pools with a roll-out by version, when the list of instances or the
 * configuration has changed.
 *
 * While the share is small, as many instances of the new version are used as it would need for that
 * share. They are then as busy as all will be later, so that a version which fails only under load
 * shows that while few callers are served by it.
 */
import type { Rollout } from '@hornbeampond/schema';
import { acceptsNewWork } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import type { PoolVersions } from './RolloutState.js';
import { VersionAnswers } from './VersionAnswers.js';

/**
 * After a roll-out that is done, only the instances that it replaces are left out: those stop at once,
 * and the list may still name them. Instances of yet another version come without a roll-out.
 */
function keepReplaced(
  state: EntryState,
  rollout: Rollout,
  previous: readonly string[],
): readonly string[] {
  if (rollout.phase !== 'done') return previous;
  const earlier = state.rollouts.versions.get(rollout.pool);
  const isSame = earlier?.rollout.startedAt === rollout.startedAt;
  return isSame ? previous.filter((instance) => earlier.previous.has(instance)) : [];
}

function sortInstances(state: EntryState, rollout: Rollout): PoolVersions {
  const live = [...state.backendServers.values()].filter(
    (server) => server.platformInstance.pool === rollout.pool && acceptsNewWork(server),
  );
  const isNext = (version: string | undefined) => version === rollout.version;
  const names = (side: boolean) =>
    live
      .filter(({ platformInstance }) => isNext(platformInstance.version) === side)
      .map(({ platformInstance }) => platformInstance.instance)
      .sort();
  const next = names(true);
  const usedCount = rollout.phase === 'rolledBack' ? 0 : Math.ceil(next.length * rollout.share);
  return {
    rollout,
    next: new Set(next),
    nextInUse: new Set(next.slice(0, usedCount)),
    previous: new Set(keepReplaced(state, rollout, names(false))),
  };
}

export function updateVersions(state: EntryState): void {
  const { rollouts = [] } = state.configuration;
  state.rollouts.versions = new Map(
    rollouts.map((rollout) => [rollout.pool, sortInstances(state, rollout)]),
  );
  rollouts.forEach(({ pool, startedAt, phase }) => {
    const isCounted = state.rollouts.answers.get(pool)?.startedAt === startedAt;
    if (phase === 'running' && !isCounted) {
      state.rollouts.answers.set(pool, new VersionAnswers(startedAt));
    }
  });
}
