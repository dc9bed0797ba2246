/**
 * The ways a request gets its final answer. Each is given at the moment it is decided.
 */
import type { ErrorKind, Milliseconds, Ran } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from './RequestState.js';

/** What a final answer adds to its error kind. */
export interface FinalProblem {
  readonly retryAfterMilliseconds?: Milliseconds;
  readonly ran?: Ran;
}

/** Refuses a request that was not accepted. */
export function refuse(
  request: CallerRequest,
  kind: ErrorKind,
  detail: string,
  problem: FinalProblem = {},
): EntryEffect[] {
  const { requestId, workspace } = request;
  return [
    { type: 'answerProblem', requestId, kind, detail, ...problem },
    { type: 'count', metric: 'refusals', label: kind },
    { type: 'log', event: 'requestRefused', fields: { requestId, workspace, kind, detail } },
  ];
}

/** Ends an accepted request with a problem. */
export function failRequest(
  state: EntryState,
  { request }: RequestState,
  kind: ErrorKind,
  detail: string,
  problem: FinalProblem = {},
): EntryEffect[] {
  const { requestId, workspace } = request;
  state.requests.delete(requestId);
  return [
    { type: 'answerProblem', requestId, kind, detail, ...problem },
    { type: 'count', metric: 'refusals', label: kind },
    { type: 'log', event: 'requestFailed', fields: { requestId, workspace, kind, detail } },
  ];
}

/** Ends an accepted request whose whole answer is there. */
export function finishRequest(state: EntryState, { request }: RequestState): EntryEffect[] {
  const { requestId } = request;
  state.requests.delete(requestId);
  return [
    { type: 'finishAnswer', requestId },
    { type: 'log', event: 'requestFinished', fields: { requestId } },
  ];
}
