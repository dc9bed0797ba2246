/**
 * Expires suspects and quarantines, and lifts the isolation of suspects. Isolation ends once a
 * request has run again past the point of its crash; otherwise long answers would run one at a
 * time and miss their deadlines. The price is that a poison request which crashes after that is
 * identified only at its third crash. A suspect of two or more crashes stays isolated until its
 * request completes or the suspect expires.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { Suspect } from './QuarantineState.js';

/** A suspect must run for this multiple of its time before the crash, plus a margin. */
const REQUIRED_RUN_FACTOR = 1.5;
const REQUIRED_RUN_MARGIN_MILLISECONDS = 1000;

/**
 * Upper limit of the time that a suspect must run before its isolation ends. A higher limit
 * detects more poison requests, but also attributes more unrelated crashes to harmless ones.
 */
const MAX_REQUIRED_RUN_MILLISECONDS = 2500;

/** Tokens that an engine may have generated before its crash and that the entry did not receive. */
const MAX_UNRELAYED_TOKENS = 16;

function hasRunPastCrash(state: EntryState, suspect: Suspect, now: MonotonicMilliseconds): boolean {
  if (suspect.crashIds.size !== 1) return false;
  const requiredRun = Math.min(
    MAX_REQUIRED_RUN_MILLISECONDS,
    suspect.exposure * REQUIRED_RUN_FACTOR + REQUIRED_RUN_MARGIN_MILLISECONDS,
  );
  return [...state.attempts.values()].some((attempt) => {
    const requestState = state.requests.get(attempt.requestId);
    if (requestState?.request.digest !== suspect.digest) return false;
    return (
      attempt.firstTokenAt !== undefined &&
      now - attempt.startedAt > requiredRun &&
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
    if (endsAt > now) return;
    quarantined.delete(digest);
    state.quarantine.quarantinedParts.end(digest, now);
  });
}
