/**
 * Proposes the next steps of the roll-outs that run. The holder of the lease does so at once. The other
 * processes follow the same evidence and propose a step that has been due for a while, so that a bad
 * version does not go on until the lease of a holder that was killed is over. The log applies each step
 * once, whoever proposes it.
 */
import type { Milliseconds, Rollout } from '@hornbeampond/schema';
import {
  decideRollout,
  type RolloutObservation,
  type RolloutStep,
} from '../rollouts/decideRollout.js';
import type { VersionCounts } from '../rollouts/RolloutLedger.js';
import { SlownessTest } from '../rollouts/SlownessTest.js';
import type { SingletonEffect } from './singletonEvents.js';
import type { RolloutProgress, SingletonState } from './SingletonState.js';

/** A proposal that has not taken effect within this time is repeated. */
const PROPOSAL_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** A process without the lease proposes a step that has been due for this long. */
const STANDBY_DELAY_MILLISECONDS: Milliseconds = 800;

/** Entries that have not reported for this long are not waited for. */
const ENTRY_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

function listLiveEntries({ entryReports, now }: SingletonState): string[] {
  return [...entryReports.values()]
    .filter(({ receivedAt }) => now - receivedAt < ENTRY_TIMEOUT_MILLISECONDS)
    .map(({ report }) => report.instance);
}

/** Entries know the instances even where the platform’s list is out of reach or read by another process. */
function countNextInstances(
  { instances, rollouts }: SingletonState,
  rollout: Rollout,
  entries: readonly string[],
): number {
  const listed = instances.filter(
    ({ pool, version, state }) =>
      pool === rollout.pool && version === rollout.version && state === 'live',
  ).length;
  return rollouts.countNextInstances(rollout, entries) ?? listed;
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

function updateProgress(state: SingletonState, { pool, startedAt, share }: Rollout) {
  const known = state.rolloutProgress.get(pool);
  const progress: RolloutProgress =
    known?.startedAt === startedAt
      ? known
      : {
          startedAt,
          share,
          shareSince: state.now,
          proposedAt: Number.NEGATIVE_INFINITY,
          slowness: new Map(),
        };
  if (progress.share !== share) {
    progress.share = share;
    progress.shareSince = state.now;
  }
  state.rolloutProgress.set(pool, progress);
  return progress;
}

/** Takes what has been counted up to now into account. */
function findSlowest(
  { now }: SingletonState,
  { slowness }: RolloutProgress,
  byRoute: ReadonlyMap<string, VersionCounts>,
): RolloutObservation['slowest'] {
  byRoute.forEach((counts, route) => {
    const test = slowness.get(route) ?? new SlownessTest();
    slowness.set(route, test);
    test.advance(now, counts);
  });
  const scores = [...slowness].map(([route, { score }]) => ({ route, score }));
  return scores.sort((a, b) => b.score - a.score)[0];
}

/** True if this process is to propose the step now. */
function mayPropose(state: SingletonState, progress: RolloutProgress, step: string): boolean {
  if (progress.due?.step !== step) {
    progress.due = { step, since: state.now };
    progress.proposedAt = Number.NEGATIVE_INFINITY;
  }
  const { due, proposedAt } = progress;
  const delay = state.epoch === undefined ? STANDBY_DELAY_MILLISECONDS : 0;
  if (state.now - due.since < delay) return false;
  if (state.now - proposedAt < PROPOSAL_INTERVAL_MILLISECONDS) return false;
  progress.proposedAt = state.now;
  return true;
}

/** Age of the oldest report that a step is decided from. */
function findOldestReport(
  { entryReports, now }: SingletonState,
  entries: readonly string[],
): Milliseconds {
  const ages = entries.map((entry) => now - (entryReports.get(entry)?.receivedAt ?? now));
  return Math.max(0, ...ages);
}

function propose(
  state: SingletonState,
  rollout: Rollout,
  { phase, share, reason }: RolloutStep,
  entries: readonly string[],
): SingletonEffect[] {
  const { pool, startedAt, version } = rollout;
  const elapsed = state.wallNow - startedAt;
  const byRoute = state.rollouts.countByRoute(rollout);
  const badOfAnswers = describeAnswers(byRoute);
  const evidence = [...byRoute].map(([route, counts]) => ({ route, ...counts }));
  const progress = state.rolloutProgress.get(pool);
  const slowness = [...(progress?.slowness ?? [])].map(([route, { score }]) => [route, score]);
  const fields = {
    pool,
    version,
    phase,
    share,
    reason,
    elapsed,
    entries: entries.length,
    oldestReport: findOldestReport(state, entries),
    shareHeldFor: progress === undefined ? 0 : state.now - progress.shareSince,
    slowness: Object.fromEntries(slowness) as Record<string, number>,
    silences: state.rollouts.countSilences(rollout),
    holdsLease: state.epoch !== undefined,
  };
  return [
    { type: 'log', event: 'rolloutAdvanced', fields: { ...fields, badOfAnswers } },
    {
      type: 'advanceRollout',
      command: { type: 'advanceRollout', pool, startedAt, phase, share, reason, evidence },
    },
  ];
}

function advanceRollout(state: SingletonState, rollout: Rollout): SingletonEffect[] {
  const progress = updateProgress(state, rollout);
  const entries = listLiveEntries(state);
  const elapsed = state.wallNow - rollout.startedAt;
  // A process that has just started knows no answers yet.
  if (entries.length === 0 && elapsed < rollout.duration) return [];
  const byRoute = state.rollouts.countByRoute(rollout);
  const slowest = findSlowest(state, progress, byRoute);
  const step = decideRollout(rollout, {
    elapsed,
    byRoute,
    ...(slowest === undefined ? {} : { slowest }),
    nextInstances: countNextInstances(state, rollout, entries),
    silences: state.rollouts.countSilences(rollout),
    shareHeldFor: state.now - progress.shareSince,
    isPreviousIdle: state.rollouts.isPreviousIdle(rollout, entries),
  });
  if (step === undefined) {
    delete progress.due;
    return [];
  }
  return mayPropose(state, progress, `${step.phase}/${step.share}`)
    ? propose(state, rollout, step, entries)
    : [];
}

export function advanceRollouts(state: SingletonState): SingletonEffect[] {
  const { rollouts = [] } = state.configuration;
  const running = rollouts.filter(({ phase }) => phase === 'running');
  state.rollouts.keepOnly(running);
  [...state.rolloutProgress.keys()]
    .filter((pool) => !running.some((rollout) => rollout.pool === pool))
    .forEach((pool) => state.rolloutProgress.delete(pool));
  return running.flatMap((rollout) => advanceRollout(state, rollout));
}
