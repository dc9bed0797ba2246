/**
 * The error class for failures that are reported to callers and operators, and its conversion to an
 * RFC 9457 problem document. Each error has one kind of `errorKinds`, which determines the status
 * and the title of the answer.
 */
import ModernError from 'modern-errors';
import { errorAnswers, type ErrorKind, type RanStatus } from './errorKinds.js';

/** Optional fields of a problem document beside those of its kind. */
export interface ErrorDetails {
  /** Delay after which the caller should retry. */
  readonly retryAfterMilliseconds?: number;
  /** Overrides the `ran` of the kind. */
  readonly ran?: RanStatus;
  /** Faults found in tables or settings. */
  readonly faults?: readonly { readonly where: string; readonly reason: string }[];
  /** The revision in force; set with `revisionStale`. */
  readonly currentRevision?: number;
  /** Number of answer tokens that were already sent to the caller. */
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

/** Type of the constructor, without the generics of modern-errors. */
type HornbeampondErrorConstructor = new (
  kind: ErrorKind,
  message: string,
  details?: ErrorDetails,
  cause?: unknown,
) => HornbeampondError;

/** An error of one kind. Its message describes this occurrence. */
export interface HornbeampondError extends Error {
  readonly kind: ErrorKind;
  readonly details: ErrorDetails;
}

export const HornbeampondError = ModernError.subclass('HornbeampondError', {
  // The types of modern-errors require the message as first argument; the code accepts any.
  custom: HornbeampondErrorBase as never,
}) as unknown as HornbeampondErrorConstructor;

/** An RFC 9457 problem document, the body of an `application/problem+json` response. */
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

/** Used if a retry helps and the error sets no delay. */
const DEFAULT_RETRY_AFTER_SECONDS = 1;

/** Makes the problem document of an error; any other value becomes an `internalError`. */
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
