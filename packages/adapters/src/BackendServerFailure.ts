/**
 * The one error that the adapters of backend servers, the platform and the weight store raise.
 * It says what went wrong and, above all, whether the other end can have seen the call.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import ModernError from 'modern-errors';

/**
 * - `connectFailed`: no connection came about.
 * - `busy`: the server answered that it takes no more now (429 or 503).
 * - `serverError`: the server answered with another 5xx status.
 * - `clientError`: the server answered with another 4xx status; a retry will not help.
 * - `connectionLost`: the connection ended before the answer did.
 * - `silent`: the caller's limit passed (its `AbortSignal` fired) before the answer was whole.
 * - `malformed`: the answer broke the protocol or a size limit.
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

/** `nothing`: provably not one byte of the call was sent. `maybe`: it can have run. */
export type SentState = 'nothing' | 'maybe';

export interface BackendServerFailureOptions {
  /** `connectionLost` unless given. */
  readonly failure?: BackendServerFailureKind;
  /** `maybe` unless given, which promises nothing. */
  readonly sent?: SentState;
  /** HTTP status, if the server answered. */
  readonly status?: number;
  /** When to come back, if the server said so. */
  readonly retryAfter?: Milliseconds;
  readonly cause?: unknown;
}

class BackendServerFailureBase extends ModernError {
  readonly failure: BackendServerFailureKind;

  readonly sent: SentState;

  readonly status: number | undefined;

  readonly retryAfter: Milliseconds | undefined;

  constructor(message: string, options: BackendServerFailureOptions = {}) {
    const { failure = 'connectionLost', sent = 'maybe', status, retryAfter, cause } = options;
    super(message, cause === undefined ? {} : { cause });
    this.failure = failure;
    this.sent = sent;
    this.status = status;
    this.retryAfter = retryAfter;
  }
}

/** Constructor of the class, typed without the library's generics. */
type BackendServerFailureClass = new (
  message: string,
  options?: BackendServerFailureOptions,
) => BackendServerFailureBase & Error;

/** modern-errors raises only classes that its `subclass` made, and wants their names to end so. */
export const BackendServerFailure: BackendServerFailureClass = ModernError.subclass(
  'BackendServerFailureError',
  { custom: BackendServerFailureBase },
);
export type BackendServerFailure = InstanceType<BackendServerFailureClass>;
