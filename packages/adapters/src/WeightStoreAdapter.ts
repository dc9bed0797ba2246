/**
 * How the system meets the rate-limited store that engines load weights from. The controller
 * asks for leave before it orders a load, so that a wave of starts does not queue up there.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { Milliseconds } from '@hornbeampond/schema';

export interface LoadRequest {
  /** The instance that will load. */
  readonly instance: string;
  readonly model: string;
  readonly adapter?: string;
  readonly version?: string;
}

export type LoadPermission =
  { readonly type: 'granted' } | { readonly type: 'refused'; readonly retryAfter: Milliseconds };

/** What the weight store allows. */
export interface LoadRate {
  readonly loadsPerMinute: number;
  /** Loads that would be granted now. */
  readonly available: number;
}

export abstract class WeightStoreAdapter {
  /** Takes one load out of the rate, or says when to come back. */
  abstract requestLoad(request: LoadRequest, signal: AbortSignal): Promise<LoadPermission>;

  abstract readRate(signal: AbortSignal): Promise<LoadRate>;

  abstract close(): Promise<void>;
}
