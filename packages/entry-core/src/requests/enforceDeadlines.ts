/**
 * Ends the requests whose deadline for the whole answer has passed, and refuses those for which it had
 * passed before they were read.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { failRequest, refuseRequest } from './endRequest.js';
import type { RequestState } from './RequestState.js';

const RETRY_AFTER_MILLISECONDS = 1000;

export function enforceDeadlines(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  const overdue = [...state.requests.values()].filter(
    ({ wholeAnswerDueAt }) => wholeAnswerDueAt <= now,
  );
  return overdue.flatMap((accepted) =>
    failRequest(state, accepted, 'deadlineExceeded', 'The answer was not complete in time', {
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    }),
  );
}

/** Returns the refusal of a request that arrived too long ago, or undefined. */
export function refuseOverdueArrival(
  { request, arrivedAt, wholeAnswerDueAt }: RequestState,
  now: MonotonicMilliseconds,
): EntryEffect[] | undefined {
  if (wholeAnswerDueAt > now) return undefined;
  const problem = { ran: 'no', retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS } as const;
  const facts = { waited: now - arrivedAt, patience: wholeAnswerDueAt - arrivedAt };
  const detail = 'The request was read after its deadline';
  return refuseRequest(request, 'deadlineExceeded', detail, problem, facts);
}
