/**
 * The ways a request gets its final answer. Each is given at the moment it is decided.
 */
import type { ErrorKind, LogFields, Milliseconds, Ran } from '@hornbeampond/schema';
import { releaseAttempts } from '../attempts/releaseAttempts.js';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { exonerateSuspect } from '../quarantine/suspects.js';
import type { RequestState } from './RequestState.js';

/** What a final answer adds to its error kind. */
export interface ProblemFields {
  readonly retryAfterMilliseconds?: Milliseconds;
  readonly ran?: Ran;
}

/**
 * Refuses a request that was not accepted.
 *
 * @param facts - What it was decided by.
 */
export function refuseRequest(
  request: CallerRequest,
  kind: ErrorKind,
  detail: string,
  problem: ProblemFields = {},
  facts: LogFields = {},
): EntryEffect[] {
  const { requestId, workspace } = request;
  return [
    { type: 'answerProblem', requestId, kind, detail, ...problem },
    { type: 'count', metric: 'refusals', label: kind },
    {
      type: 'log',
      event: 'requestRefused',
      fields: { requestId, workspace, kind, detail, ...facts },
    },
  ];
}

/** Ends an accepted request with a problem. */
export function failRequest(
  state: EntryState,
  accepted: RequestState,
  kind: ErrorKind,
  detail: string,
  problem: ProblemFields = {},
): EntryEffect[] {
  const { requestId, workspace } = accepted.request;
  const { tokens } = accepted;
  state.requests.delete(requestId);
  return [
    ...releaseAttempts(state, accepted),
    {
      type: 'answerProblem',
      requestId,
      kind,
      detail,
      ...problem,
      ...(tokens > 0 ? { tokensGiven: tokens } : {}),
    },
    { type: 'count', metric: 'refusals', label: kind },
    { type: 'log', event: 'requestFailed', fields: { requestId, workspace, kind, detail } },
  ];
}

/** When its first token came, and was due, from its arrival. */
function describeFirstTokenTimes({
  arrivedAt,
  firstTokenAt,
  firstTokenDueAt,
}: RequestState): LogFields {
  if (firstTokenAt === undefined) return {};
  return { firstTokenIn: firstTokenAt - arrivedAt, firstTokenDueIn: firstTokenDueAt - arrivedAt };
}

/** Ends an accepted request whose whole answer is there, as `attemptId` brought it. */
export function finishRequest(
  state: EntryState,
  accepted: RequestState,
  attemptId?: string,
  longestPause?: Milliseconds,
): EntryEffect[] {
  const { requestId, digest } = accepted.request;
  state.requests.delete(requestId);
  exonerateSuspect(state, digest);
  return [
    ...releaseAttempts(state, accepted),
    { type: 'finishAnswer', requestId, attemptId },
    {
      type: 'log',
      event: 'requestFinished',
      fields: { requestId, ...describeFirstTokenTimes(accepted), longestPause },
    },
  ];
}
