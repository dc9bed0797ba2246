/**
 * Interface to the rate-limited store from which engines load weights. The controller requests
 * permission before it orders a load, so that simultaneous starts do not overload the store.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { Milliseconds } from '@hornbeampond/schema';

export interface LoadRequest {
  /** The instance that will load the weights. */
  readonly instance: string;
  readonly model: string;
  readonly adapter?: string;
  readonly version?: string;
}

export type LoadPermission =
  { readonly type: 'granted' } | { readonly type: 'refused'; readonly retryAfter: Milliseconds };

/** Rate limit of the weight store. */
export interface LoadRate {
  readonly loadsPerMinute: number;
  /** Loads that can be granted now. */
  readonly available: number;
}

export abstract class WeightStoreAdapter {
  /** Counts one load against the rate limit if it is granted; otherwise states when to retry. */
  abstract requestLoad(request: LoadRequest, signal: AbortSignal): Promise<LoadPermission>;

  abstract readRate(signal: AbortSignal): Promise<LoadRate>;

  abstract close(): Promise<void>;
}
