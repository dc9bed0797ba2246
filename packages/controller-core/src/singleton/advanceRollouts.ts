/** Proposes the next steps of the roll-outs that run. */
import type { Milliseconds, Rollout } from '@hornbeampond/schema';
import { decideRollout } from '../rollouts/decideRollout.js';
import type { VersionCounts } from '../rollouts/RolloutLedger.js';
import type { SingletonEffect } from './singletonEvents.js';
import type { SingletonState } from './SingletonState.js';

/** A proposal that has not taken effect within this time is repeated. */
const PROPOSAL_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** Entries that have not reported for this long are not waited for. */
const ENTRY_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

function listLiveEntries({ entryReports, now }: SingletonState): string[] {
  return [...entryReports.values()]
    .filter(({ receivedAt }) => now - receivedAt < ENTRY_TIMEOUT_MILLISECONDS)
    .map(({ report }) => report.instance);
}

function countNextInstances({ instances }: SingletonState, { pool, version }: Rollout): number {
  return instances.filter(
    (instance) =>
      instance.pool === pool && instance.version === version && instance.state === 'live',
  ).length;
}

/** Bad answers of all answers, of the old and then of the new version, by route. */
function describeAnswers(byRoute: ReadonlyMap<string, VersionCounts>): Record<string, string> {
  return Object.fromEntries(
    [...byRoute].map(([route, { previous, next }]) => [
      route,
      `${previous.bad}/${previous.answers} ${next.bad}/${next.answers}`,
    ]),
  );
}

function advanceRollout(state: SingletonState, rollout: Rollout): SingletonEffect[] {
  const { pool, startedAt, version } = rollout;
  const byRoute = state.rollouts.countByRoute(rollout);
  const entries = listLiveEntries(state);
  const elapsed = state.wallNow - startedAt;
  const step = decideRollout(rollout, {
    elapsed,
    byRoute,
    nextInstances: countNextInstances(state, rollout),
    isPreviousIdle: state.rollouts.isPreviousIdle(rollout, entries),
  });
  if (step === undefined) return [];
  const { phase, share, reason } = step;
  const name = `${pool}/${startedAt}/${phase}/${share}`;
  const proposedAt = state.rolloutProposals.get(name) ?? Number.NEGATIVE_INFINITY;
  if (state.now - proposedAt < PROPOSAL_INTERVAL_MILLISECONDS) return [];
  state.rolloutProposals.set(name, state.now);
  const fields = { pool, version, phase, share, reason, elapsed, entries: entries.length };
  return [
    {
      type: 'log',
      event: 'rolloutAdvanced',
      fields: { ...fields, badOfAnswers: describeAnswers(byRoute) },
    },
    { type: 'advanceRollout', command: { type: 'advanceRollout', pool, startedAt, phase, share } },
  ];
}

export function advanceRollouts(state: SingletonState): SingletonEffect[] {
  const { rollouts = [] } = state.configuration;
  const running = rollouts.filter(({ phase }) => phase === 'running');
  state.rollouts.keepOnly(running);
  if (running.length === 0) state.rolloutProposals.clear();
  if (state.epoch === undefined) return [];
  return running.flatMap((rollout) => advanceRollout(state, rollout));
}
