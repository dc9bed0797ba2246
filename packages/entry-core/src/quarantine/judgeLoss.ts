/**
 * Decides what a loss was, once its probe is answered or has not been for too long: a lost
 * connection, a mass loss of many backend servers, or a crash that one request may have caused.
 *
 * At a crash where exactly one request was a suspect already, that one is named: it was in progress
 * at two crashes, and it is quarantined. Its neighbours there stay innocent, and so do all others of
 * the first crash.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { Timed } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { hastenWaiting } from '../attempts/advanceRetries.js';
import { failAttempt } from '../attempts/failAttempt.js';
import { reportSoon } from '../membership/reportToEntries.js';
import { isMassLoss } from './isMassLoss.js';
import { probeOf } from './probeOf.js';
import { quarantineDigest } from './quarantineDigest.js';
import type { Loss } from './QuarantineState.js';
import {
  announceSpan,
  clearExplained,
  crashesOf,
  peerHasSuspectAt,
  priorSuspects,
  SUSPICION_MILLISECONDS,
} from './suspects.js';

/** How long a probe may go unanswered before its backend server is taken for dead. */
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/** How often a backend server that is down is probed again. */
const DOWN_PROBE_MILLISECONDS = 2000;

/** Crashes without a name of their own are told apart by their time; see `crashIdOf`. */
const CRASH_BUCKET_MILLISECONDS = 60_000;

/** What a probe's answer says. */
export interface ProbeResult {
  readonly answered: boolean;
  readonly incarnation?: string;
}

/**
 * Names a crash the same way at every entry that sees it: the backend server and its incarnation.
 * Without an incarnation the minute stands in; a crash seen on both sides of a minute by two
 * entries then counts as two, and two within one minute as one.
 */
function crashIdOf(state: EntryState, instance: string, { wallNow }: Timed): string {
  const incarnation =
    state.quarantine.incarnations.get(instance) ??
    `minute-${Math.floor(wallNow / CRASH_BUCKET_MILLISECONDS)}`;
  return `${instance}/${incarnation}`;
}

/**
 * A backend server that answers can still have crashed and been restarted within the probe. Its
 * incarnation tells; without one, it is taken for restarted if every connection was reset at once,
 * or if one that was reset carried a suspect of an earlier crash, or was reset once before. A bad
 * request that is alone on engines that restart at once costs one more of them for that.
 */
function hasRestarted(state: EntryState, loss: Loss, { incarnation }: ProbeResult): boolean {
  const before = state.quarantine.incarnations.get(loss.instance);
  if (before !== undefined && incarnation !== undefined) return before !== incarnation;
  if (loss.reset.size === 0) return false;
  const allReset = loss.members.size > 1 && loss.reset.size >= loss.members.size;
  const again = [...loss.reset].some(
    (digest) => state.quarantine.suspects.get(digest)?.resetBefore === true,
  );
  return allReset || again || priorSuspects(state, loss).length > 0;
}

/** Remembers whose connection was reset although the backend server answers. */
function rememberReset(state: EntryState, loss: Loss): void {
  loss.reset.forEach((digest) => {
    const suspect = state.quarantine.suspects.get(digest);
    if (suspect === undefined) return;
    suspect.lossOf = undefined;
    suspect.paroled = true;
    suspect.resetBefore = true;
  });
}

function clearProvisional(state: EntryState, instance: string): void {
  state.quarantine.suspects.forEach((suspect, digest) => {
    if (suspect.lossOf !== instance) return;
    suspect.lossOf = undefined;
    if (suspect.crashIds.size === 0) state.quarantine.suspects.delete(digest);
  });
}

function suspectAll(
  state: EntryState,
  loss: Loss,
  digests: string[],
  crashId: string,
  now: MonotonicMilliseconds,
): void {
  const until = loss.openedAt + SUSPICION_MILLISECONDS;
  const heldUntil = now + announceSpan(state);
  digests.forEach((digest) => {
    const crashIds = crashesOf(state, digest).add(crashId);
    const { exposure = 0, tokens = 0 } = loss.members.get(digest) ?? {};
    const suspect = { digest, crashIds, lossOf: undefined, exposure, tokens, until, heldUntil };
    state.quarantine.suspects.set(digest, suspect);
  });
}

/**
 * Reports the named request with each of its crashes, and nobody else. The store quarantines any digest
 * at its second crash; were all members of every crash reported, an innocent one that is in two by
 * chance would be quarantined everywhere.
 */
function reportCulprit(digest: string, crashIds: ReadonlySet<string>): EntryEffect[] {
  return [...crashIds].map((crashId) => {
    const backendServer = crashId.slice(0, crashId.lastIndexOf('/'));
    const command = { type: 'reportCrash', backendServer, crashId, digests: [digest] } as const;
    return { type: 'proposeCommand', command };
  });
}

/** Draws what follows for the requests that were in progress at a crash. */
function blame(state: EntryState, loss: Loss, crashId: string, timed: Timed): EntryEffect[] {
  const prior = priorSuspects(state, loss);
  clearProvisional(state, loss.instance);
  const culprit = prior[0];
  // A peer's suspect ran there: the crash is that one's, as the peer will find.
  if (culprit === undefined && peerHasSuspectAt(state, loss.instance)) return [];
  if (culprit === undefined) {
    suspectAll(state, loss, [...loss.members.keys()], crashId, timed.now);
    return [];
  }
  if (prior.length > 1 || peerHasSuspectAt(state, loss.instance)) {
    suspectAll(state, loss, prior, crashId, timed.now);
    return [];
  }
  const crashIds = crashesOf(state, culprit).add(crashId);
  clearExplained(state, crashIds);
  return [...reportCulprit(culprit, crashIds), ...quarantineDigest(state, culprit, timed)];
}

function markDown(state: EntryState, loss: Loss, crashId: string, now: MonotonicMilliseconds) {
  const probeDueAt = now + DOWN_PROBE_MILLISECONDS;
  const digests = new Set(loss.members.keys());
  const since = loss.openedAt;
  state.quarantine.down.set(loss.instance, { since, probeDueAt, digests, crashId });
}

/** Ends the attempts at a dead backend server without waiting for each of their connections. */
function failAttemptsAt(state: EntryState, instance: string, timed: Timed): EntryEffect[] {
  const attemptIds = [...(state.backendServers.get(instance)?.attemptIds ?? [])];
  return attemptIds.flatMap((attemptId) => {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined) return [];
    const failed = {
      type: 'attemptFailed',
      attemptId,
      failure: 'connectionLost',
      sent: 'maybe',
      tokens: attempt.tokens,
      answerStarted: false,
    } as const;
    const { now, wallNow } = timed;
    return [
      { type: 'cancelAttempt', attemptId } as const,
      ...failAttempt(state, attempt, { ...failed, now, wallNow }),
    ];
  });
}

export function judgeLoss(
  state: EntryState,
  loss: Loss,
  result: ProbeResult,
  timed: Timed,
): EntryEffect[] {
  const { instance } = loss;
  state.quarantine.losses.delete(instance);
  reportSoon(state);
  const restarted = result.answered && hasRestarted(state, loss, result);
  if (result.answered && !restarted) {
    rememberReset(state, loss);
    clearProvisional(state, instance);
    return [{ type: 'log', event: 'connectionOnlyLost', fields: { instance } }];
  }
  const crashId = crashIdOf(state, instance, timed);
  const mass = !result.answered && isMassLoss(state, loss);
  if (!result.answered) markDown(state, loss, crashId, timed.now);
  const blamed = mass ? [] : blame(state, loss, crashId, timed);
  if (mass) clearProvisional(state, instance);
  const members = loss.members.size;
  return [
    { type: 'log', event: 'backendServerCrashed', fields: { instance, crashId, members, mass } },
    ...blamed,
    ...failAttemptsAt(state, instance, timed),
  ];
}

/** A probe has come back, for a loss or for a backend server that was down. */
export function takeProbeAnswer(
  state: EntryState,
  instance: string,
  result: ProbeResult,
  timed: Timed,
): EntryEffect[] {
  const loss = state.quarantine.losses.get(instance);
  const effects = loss === undefined ? [] : judgeLoss(state, loss, result, timed);
  const { incarnation } = result;
  if (incarnation !== undefined) state.quarantine.incarnations.set(instance, incarnation);
  if (loss === undefined && result.answered) state.quarantine.down.delete(instance);
  return loss === undefined ? effects : [...effects, ...hastenWaiting(state, timed.now)];
}

/** Judges losses whose probe is overdue, and probes again what is down. */
export function advanceLosses(state: EntryState, timed: Timed): EntryEffect[] {
  const overdue = [...state.quarantine.losses.values()].filter(
    ({ openedAt }) => openedAt + PROBE_TIMEOUT_MILLISECONDS <= timed.now,
  );
  const judged = overdue.flatMap((loss) => judgeLoss(state, loss, { answered: false }, timed));
  const probes = [...state.quarantine.down].flatMap(([instance, down]) => {
    if (!state.backendServers.has(instance)) state.quarantine.down.delete(instance);
    if (down.probeDueAt > timed.now) return [];
    down.probeDueAt = timed.now + DOWN_PROBE_MILLISECONDS;
    return probeOf(state, instance);
  });
  return [...judged, ...probes];
}
