/**
 * How the platform is met by the one process that reports usage and sizes pools. Every call names
 * its holder and the epoch of its lease; whether the platform checks them is its own affair.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { SizeOrder, UsageCounts } from '@hornbeampond/schema';

/** Who calls, under which holding of the lease. */
export interface LeaseHolderIdentity {
  readonly holder: string;
  /** Grows whenever the holder changes. */
  readonly epoch: number;
}

export abstract class SingletonAdapter {
  /** Reports what each workspace began to run in one window; the same again does no harm. */
  abstract reportUsage(
    window: number,
    counts: UsageCounts,
    holding: LeaseHolderIdentity,
    signal: AbortSignal,
  ): Promise<void>;

  /** Says how many instances there are to be; `refused` if the platform has none to give. */
  abstract orderSize(
    order: SizeOrder,
    holding: LeaseHolderIdentity,
    signal: AbortSignal,
  ): Promise<'done' | 'refused'>;
}
