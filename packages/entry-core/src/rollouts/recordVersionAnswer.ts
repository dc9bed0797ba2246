/**
 * Counts an answer or failure for its version, while a roll-out of the pool runs. An answer is slow if
 * it takes several times as long as the old version usually does on the same route. The same
 * bound applies to both versions, so a route whose delays vary counts as many slow answers for either.
 * Lost connections and refusals are left out: they come from an instance or the way to it.
 */
import type {
  Milliseconds,
  MonotonicMilliseconds,
  Rollout,
  VersionAnswerKind,
} from '@hornbeampond/schema';
import type { AttemptState } from '../attempts/AttemptState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure } from '../entryEvents.js';
import { MovingAverage } from '../backendServers/MovingAverage.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import type { RequestState } from '../requests/RequestState.js';
import type { AnswerQuality, VersionSide } from './VersionAnswers.js';

/** The mean is that of all instances, of which some are slowed by other software for a moment. */
const SLOW_FACTOR = 1.8;

/** Short delays vary more than by the factor. */
const SLOW_MARGIN_MILLISECONDS: Milliseconds = 10;

const failuresOfVersion: ReadonlySet<AttemptFailure> = new Set(['serverError', 'malformed']);

function isSlow(usual: Milliseconds | undefined, delay: Milliseconds | 'unknown'): boolean {
  if (usual === undefined || delay === 'unknown') return false;
  return delay > usual * SLOW_FACTOR + SLOW_MARGIN_MILLISECONDS;
}

/** Up to this part of a delay, what this process was late by can be taken off. */
const MAX_OWN_FRACTION = 0.5;

/**
 * Time since the attempt started, without what this process was late by: a slow entry reads the answers
 * of all servers late. Unknown if that is most of it.
 */
function measureServerDelay(
  { slowness }: EntryState,
  { startedAt, latenessBefore }: AttemptState,
  now: MonotonicMilliseconds,
): Milliseconds | 'unknown' {
  const ownDelay = slowness.detector.totalLateness(now) - latenessBefore;
  const delay = now - startedAt;
  return ownDelay > delay * MAX_OWN_FRACTION ? 'unknown' : delay - ownDelay;
}

/** Records the time to the first token of an attempt. */
export function recordServerDelay(
  state: EntryState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): void {
  attempt.serverDelay ??= measureServerDelay(state, attempt, now);
}

function updateUsualDelay(state: EntryState, route: string, delay: Milliseconds | 'unknown'): void {
  if (delay === 'unknown') return;
  const { usualDelays } = state.rollouts;
  const usual = usualDelays.get(route) ?? new MovingAverage(delay);
  usual.addSample(delay);
  usualDelays.set(route, usual);
}

const metricLabels: Readonly<Record<VersionSide, Record<AnswerQuality, VersionAnswerKind>>> = {
  previous: {
    good: 'previous/good',
    untimed: 'previous/good',
    slow: 'previous/slow',
    bad: 'previous/bad',
  },
  next: { good: 'next/good', untimed: 'next/good', slow: 'next/slow', bad: 'next/bad' },
};

function findRunning(state: EntryState, pool: string): Rollout | undefined {
  const rollout = state.rollouts.versions.get(pool)?.rollout;
  return rollout?.phase === 'running' ? rollout : undefined;
}

function findSide(rollout: Rollout, { version }: AttemptState): VersionSide {
  return version === rollout.version ? 'next' : 'previous';
}

function recordAnswer(
  state: EntryState,
  { route, pool }: RequestState,
  side: VersionSide,
  quality: AnswerQuality,
): EntryEffect[] {
  state.rollouts.answers.get(pool.name)?.record(route.name, side, quality);
  if ((quality === 'bad' || quality === 'slow') && side === 'next') reportSoon(state);
  return [{ type: 'count', metric: 'versionAnswers', label: metricLabels[side][quality] }];
}

/** Records an attempt whose answer came. The usual delays are kept before a roll-out begins, too. */
export function recordVersionSuccess(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { route, pool } = requestState;
  const delay = attempt.serverDelay ?? measureServerDelay(state, attempt, now);
  const rollout = findRunning(state, pool.name);
  if (rollout === undefined) {
    updateUsualDelay(state, route.name, delay);
    return [];
  }
  const side = findSide(rollout, attempt);
  const usual = state.rollouts.usualDelays.get(route.name)?.value;
  const isTimed = usual !== undefined && delay !== 'unknown';
  const timedQuality = isSlow(usual, delay) ? 'slow' : 'good';
  if (side === 'previous') updateUsualDelay(state, route.name, delay);
  return recordAnswer(state, requestState, side, isTimed ? timedQuality : 'untimed');
}

/** Records an attempt that failed. */
export function recordVersionFailure(
  state: EntryState,
  requestState: RequestState,
  attempt: AttemptState,
  failure: AttemptFailure,
): EntryEffect[] {
  const rollout = findRunning(state, requestState.pool.name);
  if (rollout === undefined || !failuresOfVersion.has(failure)) return [];
  return recordAnswer(state, requestState, findSide(rollout, attempt), 'bad');
}

/**
 * Records an attempt that ends without an answer after more than the usual time. It is no bad answer,
 * since the instance may be lost, but a version that never answers must not get all requests.
 */
export function recordVersionSilence(
  state: EntryState,
  { route, pool }: RequestState,
  attempt: AttemptState,
  now: MonotonicMilliseconds,
): void {
  const rollout = findRunning(state, pool.name);
  if (rollout === undefined || attempt.serverDelay !== undefined) return;
  if (findSide(rollout, attempt) !== 'next') return;
  const usual = state.rollouts.usualDelays.get(route.name)?.value;
  if (isSlow(usual, measureServerDelay(state, attempt, now))) {
    state.rollouts.answers.get(pool.name)?.recordSilence();
  }
}
