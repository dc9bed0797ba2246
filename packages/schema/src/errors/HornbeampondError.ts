/**
 * The base of all errors that the system raises on purpose. Each carries one kind of the closed
 * list, from which the answer to the caller is made.
 */
import ModernError from 'modern-errors';
import { errorAnswers, type ErrorKind, type RanStatus } from './errorKinds.js';

/** What a problem document adds to its kind. */
export interface ErrorDetails {
  /** When to come back, in milliseconds. */
  readonly retryAfterMilliseconds?: number;
  /** Overrides the table's `ran` where the raiser knows more. */
  readonly ran?: RanStatus;
  /** Faults found in a table or in settings. */
  readonly faults?: readonly { readonly where: string; readonly reason: string }[];
  /** The revision in force, with `revisionStale`. */
  readonly currentRevision?: number;
  /** Tokens of the answer that the caller has already been given. */
  readonly tokensGiven?: number;
}

class HornbeampondErrorBase extends ModernError {
  readonly kind: ErrorKind;

  readonly details: ErrorDetails;

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}, cause?: unknown) {
    super(message, cause === undefined ? {} : { cause });
    this.kind = kind;
    this.details = details;
  }
}

/** Constructor of the class, typed without the library's generics. */
type HornbeampondErrorConstructor = new (
  kind: ErrorKind,
  message: string,
  details?: ErrorDetails,
  cause?: unknown,
) => HornbeampondError;

/** An error of a known kind. Its message says what happened in this one case. */
export interface HornbeampondError extends Error {
  readonly kind: ErrorKind;
  readonly details: ErrorDetails;
}

export const HornbeampondError = ModernError.subclass('HornbeampondError', {
  // The library's types want the message first; at run time it takes any arguments.
  custom: HornbeampondErrorBase as never,
}) as unknown as HornbeampondErrorConstructor;

/** An RFC 9457 problem document, as sent in `application/problem+json`. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly ran: RanStatus;
  readonly retryAfterSeconds?: number;
  readonly requestId?: string;
  readonly currentRevision?: number;
  readonly tokensGiven?: number;
  readonly faults?: readonly { readonly where: string; readonly reason: string }[];
}

/** Used where a retry helps but the raiser has no better estimate. */
const DEFAULT_RETRY_AFTER_SECONDS = 1;

/** Makes the problem document of an error; an error of no known kind becomes `internalError`. */
export function toProblemDocument(error: unknown, requestId?: string): ProblemDocument {
  const hornbeampondError =
    error instanceof HornbeampondError
      ? error
      : new HornbeampondError('internalError', 'An unexpected error occurred', {}, error);
  const answer = errorAnswers[hornbeampondError.kind];
  const { retryAfterMilliseconds, ran, faults, currentRevision, tokensGiven } =
    hornbeampondError.details;
  const retryAfterSeconds =
    retryAfterMilliseconds === undefined
      ? DEFAULT_RETRY_AFTER_SECONDS
      : Math.max(1, Math.ceil(retryAfterMilliseconds / 1000));
  return {
    type: `urn:hornbeampond:problem:${hornbeampondError.kind}`,
    title: answer.title,
    status: answer.status,
    detail: hornbeampondError.message,
    kind: hornbeampondError.kind,
    ran: ran ?? answer.ran,
    ...(answer.retryHelps ? { retryAfterSeconds } : {}),
    ...(requestId === undefined ? {} : { requestId }),
    ...(currentRevision === undefined ? {} : { currentRevision }),
    ...(tokensGiven === undefined ? {} : { tokensGiven }),
    ...(faults === undefined ? {} : { faults }),
  };
}
