/** The ways to give a request its final answer: refuse, fail or finish it. */
import type {
  AnswerEndEvidence,
  ErrorKind,
  LogFields,
  Milliseconds,
  RanStatus,
} from '@hornbeampond/schema';
import { releaseAttempts } from '../attempts/releaseAttempts.js';
import { recordOutcome } from '../hedging/observeDurations.js';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { determineRan } from './determineRan.js';
import { exonerateSuspect } from '../quarantine/suspects.js';
import type { RequestState } from './RequestState.js';

/** Optional fields of a problem answer. */
export interface ProblemFields {
  readonly retryAfterMilliseconds?: Milliseconds;
  /** For an accepted request this is determined from its attempts, unless its claim knows better. */
  readonly ran?: RanStatus;
}

/**
 * Refuses a request that was not accepted.
 *
 * @param facts - The values the decision is based on, for the log.
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

/**
 * Ends an accepted request with a problem.
 *
 * @param facts - The values the decision is based on, for the log.
 */
export function failRequest(
  state: EntryState,
  accepted: RequestState,
  kind: ErrorKind,
  detail: string,
  problem: ProblemFields = {},
  facts: LogFields = {},
): EntryEffect[] {
  const { requestId, workspace } = accepted.request;
  const { tokens } = accepted;
  // Before the attempts are released, which counts as sending.
  const { ran = determineRan(accepted) } = problem;
  if (kind === 'deadlineExceeded') recordOutcome(state, accepted);
  state.requests.delete(requestId);
  return [
    ...releaseAttempts(state, accepted),
    {
      type: 'answerProblem',
      requestId,
      kind,
      detail,
      ...problem,
      ran,
      ...(tokens > 0 ? { tokensGiven: tokens } : {}),
    },
    { type: 'count', metric: 'refusals', label: kind },
    {
      type: 'log',
      event: 'requestFailed',
      fields: { requestId, workspace, kind, detail, ran, ...facts },
    },
  ];
}

/** When the first token arrived and when it was due, in milliseconds from the request's arrival. */
function describeFirstTokenTimes({
  arrivedAt,
  firstTokenAt,
  firstTokenDueAt,
}: RequestState): LogFields {
  if (firstTokenAt === undefined) return {};
  return { firstTokenIn: firstTokenAt - arrivedAt, firstTokenDueIn: firstTokenDueAt - arrivedAt };
}

/** What is logged of a complete answer. */
export interface FinishedAnswer {
  /** Status that the backend server chose. */
  readonly status?: number | undefined;
  /** The longest time between two events of the answer. */
  readonly longestPause?: Milliseconds | undefined;
  /** What shows that the answer has ended. */
  readonly endShownBy?: AnswerEndEvidence | undefined;
}

/** Ends an accepted request whose answer is complete; `attemptId` delivered it. */
export function finishRequest(
  state: EntryState,
  accepted: RequestState,
  attemptId?: string,
  { longestPause, status, endShownBy }: FinishedAnswer = {},
): EntryEffect[] {
  const { requestId, digest } = accepted.request;
  state.requests.delete(requestId);
  recordOutcome(state, accepted);
  exonerateSuspect(state, digest);
  return [
    ...releaseAttempts(state, accepted, attemptId),
    { type: 'finishAnswer', requestId, attemptId },
    {
      type: 'log',
      event: 'requestFinished',
      fields: {
        requestId,
        status,
        ...describeFirstTokenTimes(accepted),
        longestPause,
        ...(endShownBy === undefined ? {} : { endShownBy }),
      },
    },
  ];
}
