/**
 * Interface to the platform for the one process that reports usage and sets pool sizes. Every call
 * states the holder of the lease and its epoch; the platform may or may not check them.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { SizeOrder, UsageCounts } from '@hornbeampond/schema';

/** The calling process and the epoch of its lease. */
export interface LeaseHolderIdentity {
  readonly holder: string;
  /** Increases whenever the holder changes. */
  readonly epoch: number;
}

export abstract class SingletonAdapter {
  /** Reports what each workspace started to run in one window. Repeating a report is harmless. */
  abstract reportUsage(
    window: number,
    counts: UsageCounts,
    leaseHolder: LeaseHolderIdentity,
    signal: AbortSignal,
  ): Promise<void>;

  /** Requests a number of instances; resolves with `refused` if the platform has none to offer. */
  abstract orderSize(
    order: SizeOrder,
    leaseHolder: LeaseHolderIdentity,
    signal: AbortSignal,
  ): Promise<'done' | 'refused'>;
}
