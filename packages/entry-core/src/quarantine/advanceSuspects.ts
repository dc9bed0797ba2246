/**
 * Lets suspicions and quarantines end.
 *
 * A suspect is paroled once it has run on another backend server past the point at which the first
 * was lost, and for a while: it need not be kept apart any more. Otherwise a batch of long answers
 * would be held apart until each has ended, and callers would miss their deadlines; and a request
 * that is by chance in progress at two unrelated losses would be quarantined. One that is lost again
 * after all has to run whole, apart, to be cleared.
 *
 * The bound: a request that crashes again within its probation costs two backend servers, one that
 * does so later costs three.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { Suspect } from './QuarantineState.js';

const ISOLATION_EXPOSURE_FACTOR = 1.5;
const ISOLATION_MARGIN_MILLISECONDS = 1000;

/** Most time on probation: a longer one catches more, and names more by chance. */
const MAX_ISOLATION_MILLISECONDS = 2500;

/** Tokens that an engine may have computed at its crash beyond those that were relayed. */
const MAX_UNRELAYED_TOKENS = 16;

function hasRunPastCrash(state: EntryState, suspect: Suspect, now: MonotonicMilliseconds): boolean {
  if (suspect.crashIds.size !== 1) return false;
  const requiredDuration = Math.min(
    MAX_ISOLATION_MILLISECONDS,
    suspect.exposure * ISOLATION_EXPOSURE_FACTOR + ISOLATION_MARGIN_MILLISECONDS,
  );
  return [...state.attempts.values()].some((attempt) => {
    const accepted = state.requests.get(attempt.requestId);
    if (accepted?.request.digest !== suspect.digest) return false;
    return (
      attempt.firstTokenAt !== undefined &&
      now - attempt.startedAt > requiredDuration &&
      attempt.tokens > suspect.tokens + MAX_UNRELAYED_TOKENS
    );
  });
}

export function advanceSuspects(state: EntryState, now: MonotonicMilliseconds): void {
  const { suspects, quarantined, massLossDigests } = state.quarantine;
  suspects.forEach((suspect, digest) => {
    if (suspect.until <= now) suspects.delete(digest);
    else if (hasRunPastCrash(state, suspect, now)) suspect.isolationLifted = true;
  });
  massLossDigests.forEach((until, digest) => {
    if (until <= now) massLossDigests.delete(digest);
  });
  quarantined.forEach(({ endsAt }, digest) => {
    if (endsAt <= now) quarantined.delete(digest);
  });
}
