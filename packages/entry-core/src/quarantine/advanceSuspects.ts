/**
 * Lets suspicions and quarantines end.
 *
 * A suspect is cleared early once it has run on another backend server for clearly longer, and
 * further, than on the one that was lost: a request that crashes its engine at a point of its
 * work has passed that point. Otherwise a batch of long answers would be held apart until each has
 * ended, and callers would miss their deadlines. A suspect of two crashes has to run whole.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { Suspect } from './QuarantineState.js';

const PROBATION_FACTOR = 1.5;
const PROBATION_MILLISECONDS = 1000;

function hasPassed(state: EntryState, suspect: Suspect, now: MonotonicMilliseconds): boolean {
  if (suspect.crashIds.size !== 1) return false;
  const needed = suspect.exposure * PROBATION_FACTOR + PROBATION_MILLISECONDS;
  return [...state.attempts.values()].some((attempt) => {
    const accepted = state.requests.get(attempt.requestId);
    if (accepted?.request.digest !== suspect.digest) return false;
    return (
      attempt.firstTokenAt !== undefined &&
      now - attempt.startedAt > needed &&
      attempt.tokens > suspect.tokens
    );
  });
}

export function advanceSuspects(state: EntryState, now: MonotonicMilliseconds): void {
  const { suspects, quarantined, massLost } = state.quarantine;
  suspects.forEach((suspect, digest) => {
    if (suspect.until <= now || hasPassed(state, suspect, now)) suspects.delete(digest);
  });
  massLost.forEach((until, digest) => {
    if (until <= now) massLost.delete(digest);
  });
  quarantined.forEach(({ endsAt }, digest) => {
    if (endsAt <= now) quarantined.delete(digest);
  });
}
