/** Ends the requests whose deadline for the whole answer has passed. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest } from './endRequest.js';
import { determineRan } from './determineRan.js';

const RETRY_AFTER_MILLISECONDS = 1000;

export function enforceDeadlines(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  const overdue = [...state.requests.values()].filter(
    ({ wholeAnswerDueAt }) => wholeAnswerDueAt <= now,
  );
  return overdue.flatMap((accepted) =>
    failRequest(state, accepted, 'deadlineExceeded', 'The answer was not complete in time', {
      ran: determineRan(accepted),
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    }),
  );
}
