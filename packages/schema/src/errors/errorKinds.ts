/**
 * The list of error kinds and how each is answered. The problem documents for callers and operators
 * are made from this table. `ran: 'no'` guarantees that the request was not run and will not be;
 * `unknown` is used wherever this cannot be guaranteed.
 */

/** Whether a backend server may have run the failed request. */
export type RanStatus = 'no' | 'unknown';

/** How one error kind is answered. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Short summary, the same for each occurrence of the kind. */
  readonly title: string;
  readonly ran: RanStatus;
  /** True if the same request can succeed later; the answer then has a `Retry-After` header. */
  readonly retryHelps: boolean;
}

function defineKind(
  status: number,
  title: string,
  ran: RanStatus,
  retryHelps = false,
): ErrorAnswer {
  return { status, title, ran, retryHelps };
}

/** The answer of each error kind. */
export const errorAnswers = {
  badRequest: defineKind(400, 'The request is malformed', 'no'),
  idempotencyKeyMissing: defineKind(400, 'This call needs an Idempotency-Key', 'no'),
  unauthorized: defineKind(401, 'The key is missing or not known', 'no'),
  forbidden: defineKind(403, 'The workspace may not use this route', 'no'),
  routeNotFound: defineKind(404, 'No route matches the request', 'no'),
  methodNotAllowed: defineKind(405, 'The method is not allowed here', 'no'),
  claimRunning: defineKind(409, 'A call with this Idempotency-Key is in progress', 'unknown', true),
  outcomeUnknown: defineKind(
    409,
    'Whether the call ran is not known; it is not sent again',
    'unknown',
  ),
  answerTooLargeToReplay: defineKind(
    409,
    'The call ran; its answer was too large to keep',
    'unknown',
  ),
  rolloutRunning: defineKind(409, 'Another roll-out of this pool is running', 'no'),
  rolloutInvalid: defineKind(400, 'The roll-out cannot be started', 'no'),
  revisionStale: defineKind(412, 'The table has changed since this revision', 'no'),
  preconditionMissing: defineKind(428, 'The change must name the revision it was made from', 'no'),
  bodyTooLarge: defineKind(413, 'The request body is too large', 'no'),
  bodyTimeout: defineKind(408, 'The request body was not sent in time', 'no', true),
  headersTooLarge: defineKind(431, 'The request headers are too large', 'no'),
  idempotencyKeyReused: defineKind(422, 'This Idempotency-Key was used with another body', 'no'),
  changeIdReused: defineKind(422, 'This change id was used with another change', 'no'),
  tableInvalid: defineKind(422, 'The table has faults', 'no'),
  allowanceSpent: defineKind(429, 'The workspace has spent its allowance', 'no', true),
  limitReached: defineKind(429, 'The workspace has reached its limit on this route', 'no', true),
  overloaded: defineKind(503, 'The queue of this route is full', 'no', true),
  deadlineUnreachable: defineKind(503, 'The deadline of this hour cannot be met now', 'no', true),
  noBackendServer: defineKind(503, 'No backend server can take the request now', 'no', true),
  versionUnavailable: defineKind(
    503,
    'The stream cannot go on at the software version that began it',
    'no',
    true,
  ),
  quarantined: defineKind(503, 'Requests like this one crashed backend servers', 'no', true),
  claimsUnavailable: defineKind(
    503,
    'Calls that may not be repeated are not taken now',
    'no',
    true,
  ),
  notConfigured: defineKind(503, 'No configuration is in force here yet', 'no', true),
  draining: defineKind(503, 'This instance is shutting down', 'no', true),
  storeUnavailable: defineKind(503, 'No quorum of stores can be reached', 'no', true),
  changeUnsure: defineKind(
    504,
    'Resend the change with the same id to learn its fate',
    'unknown',
    true,
  ),
  backendServerFailed: defineKind(502, 'The backend server failed', 'unknown', true),
  answerCut: defineKind(502, 'The answer could not be finished', 'unknown', true),
  deadlineExceeded: defineKind(504, 'The deadline has passed', 'unknown', true),
  internalError: defineKind(500, 'An unexpected error occurred', 'unknown'),
} as const satisfies Record<string, ErrorAnswer>;

export type ErrorKind = keyof typeof errorAnswers;

export const errorKinds = Object.keys(errorAnswers) as ErrorKind[];
