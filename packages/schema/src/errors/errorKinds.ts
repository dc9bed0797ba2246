/**
 * The closed list of error kinds and the table from kind to answer.
 *
 * Callers and operators see every failure as an RFC 9457 problem document made from this table.
 * `ran: 'no'` is a promise: the request was not run and will not be. Where that cannot be
 * promised, the table says `unknown`.
 */

/** Whether the request that failed can have been run by a backend server. */
export type RanStatus = 'no' | 'unknown';

/** How one error kind is answered. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Short human-readable summary; the same for each occurrence of the kind. */
  readonly title: string;
  readonly ran: RanStatus;
  /** True if the same request can succeed later, so that the answer carries `Retry-After`. */
  readonly retryHelps: boolean;
}

function answer(status: number, title: string, ran: RanStatus, retryHelps = false): ErrorAnswer {
  return { status, title, ran, retryHelps };
}

/** Every error kind with its answer. */
export const errorAnswers = {
  badRequest: answer(400, 'The request is malformed', 'no'),
  idempotencyKeyMissing: answer(400, 'This call needs an Idempotency-Key', 'no'),
  unauthorized: answer(401, 'The key is missing or not known', 'no'),
  forbidden: answer(403, 'The workspace may not use this route', 'no'),
  routeNotFound: answer(404, 'No route matches the request', 'no'),
  methodNotAllowed: answer(405, 'The method is not allowed here', 'no'),
  claimRunning: answer(409, 'A call with this Idempotency-Key is in progress', 'unknown', true),
  outcomeUnknown: answer(409, 'Whether the call ran is not known; it is not sent again', 'unknown'),
  answerTooLargeToReplay: answer(409, 'The call ran; its answer was too large to keep', 'unknown'),
  revisionStale: answer(412, 'The table has changed since this revision', 'no'),
  preconditionMissing: answer(428, 'The change must name the revision it was made from', 'no'),
  bodyTooLarge: answer(413, 'The request body is too large', 'no'),
  headersTooLarge: answer(431, 'The request headers are too large', 'no'),
  idempotencyKeyReused: answer(422, 'This Idempotency-Key was used with another body', 'no'),
  changeIdReused: answer(422, 'This change id was used with another change', 'no'),
  tableInvalid: answer(422, 'The table has faults', 'no'),
  allowanceSpent: answer(429, 'The workspace has spent its allowance', 'no', true),
  limitReached: answer(429, 'The workspace has reached its limit on this route', 'no', true),
  overloaded: answer(503, 'The queue of this route is full', 'no', true),
  deadlineUnreachable: answer(503, 'The deadline of this hour cannot be met now', 'no', true),
  noBackendServer: answer(503, 'No backend server can take the request now', 'no', true),
  quarantined: answer(503, 'Requests like this one crashed backend servers', 'no', true),
  claimsUnavailable: answer(503, 'Calls that may not be repeated are not taken now', 'no', true),
  notConfigured: answer(503, 'No configuration is in force here yet', 'no', true),
  draining: answer(503, 'This instance is shutting down', 'no', true),
  storeUnavailable: answer(503, 'No quorum of stores can be reached', 'no', true),
  changeUnsure: answer(
    504,
    'Resend the change with the same id to learn its fate',
    'unknown',
    true,
  ),
  backendServerFailed: answer(502, 'The backend server failed', 'unknown', true),
  answerCut: answer(502, 'The answer could not be finished', 'unknown', true),
  deadlineExceeded: answer(504, 'The deadline has passed', 'unknown', true),
  internalError: answer(500, 'An unexpected error occurred', 'unknown'),
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorAnswers;

/** All error kinds, for counters that start at zero and for documentation checks. */
export const errorKinds = Object.keys(errorAnswers) as ErrorKind[];
