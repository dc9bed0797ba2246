/**
 * The error that all adapters throw when a call to a backend server, the platform or the weight
 * store fails. It states the kind of failure and whether the call may have run.
 */
import type {
  IncompleteAnswerReason,
  Milliseconds,
  NotRunProof,
  ResponseFacts,
} from '@hornbeampond/schema';
import ModernError from 'modern-errors';

/**
 * - `connectFailed`: no connection could be established.
 * - `busy`: the server accepts no more calls for now.
 * - `serverError`: the server answered with another 5xx status.
 * - `clientError`: the server answered with another 4xx status, or the call itself was invalid.
 *   A retry does not help.
 * - `connectionLost`: the connection ended before the answer was complete.
 * - `silent`: the caller's `AbortSignal` fired before the answer was complete.
 * - `malformed`: the answer violated the protocol or a size limit.
 */
export const backendServerFailureKinds = [
  'connectFailed',
  'busy',
  'serverError',
  'clientError',
  'connectionLost',
  'silent',
  'malformed',
] as const;
export type BackendServerFailureKind = (typeof backendServerFailureKinds)[number];

/** `nothing`: the call provably did not run. `maybe`: it may have run. */
export type SentState = 'nothing' | 'maybe';

export interface BackendServerFailureOptions {
  /** Defaults to `connectionLost`. */
  readonly failure?: BackendServerFailureKind;
  /** What proves that the call did not run. Without it, the call may have run. */
  readonly proof?: NotRunProof;
  /** HTTP status, if it caused the failure. */
  readonly status?: number;
  readonly response?: ResponseFacts;
  /** Why an answer that has begun is not whole. */
  readonly incomplete?: IncompleteAnswerReason;
  /** Delay before a retry, if the server sent one. */
  readonly retryAfter?: Milliseconds;
  readonly cause?: unknown;
}

class BackendServerFailureBase extends ModernError {
  readonly failure: BackendServerFailureKind;

  readonly sent: SentState;

  readonly proof: NotRunProof | undefined;

  readonly status: number | undefined;

  readonly response: ResponseFacts | undefined;

  readonly incomplete: IncompleteAnswerReason | undefined;

  readonly retryAfter: Milliseconds | undefined;

  constructor(message: string, options: BackendServerFailureOptions = {}) {
    const { failure = 'connectionLost', proof, status, response } = options;
    const { incomplete, retryAfter, cause } = options;
    super(message, cause === undefined ? {} : { cause });
    this.failure = failure;
    this.sent = proof === undefined ? 'maybe' : 'nothing';
    this.proof = proof;
    this.response = response;
    this.incomplete = incomplete;
    this.status = status;
    this.retryAfter = retryAfter;
  }
}

/** Constructor type of the class, without the generics of modern-errors. */
type BackendServerFailureClass = new (
  message: string,
  options?: BackendServerFailureOptions,
) => BackendServerFailureBase & Error;

/** modern-errors requires classes made by `subclass`, with names that end in `Error`. */
export const BackendServerFailure: BackendServerFailureClass = ModernError.subclass(
  'BackendServerFailureError',
  { custom: BackendServerFailureBase },
);
export type BackendServerFailure = InstanceType<BackendServerFailureClass>;
