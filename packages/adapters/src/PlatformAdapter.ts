/**
 * How the system meets the platform that sells instances. What it lists lags, and its notices
 * can reach one asker before another.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { EpochMilliseconds, PlatformInstance } from '@hornbeampond/schema';

export interface InstanceStart {
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  /** The same token never buys a second instance, so a start with a lost answer is resent. */
  readonly startToken: string;
}

export type InstanceStartResult =
  | { readonly type: 'started'; readonly instance: PlatformInstance }
  /** The platform has none to sell; nothing was bought. */
  | { readonly type: 'refused'; readonly reason: string };

/** The platform's word that it will take an instance away. */
export interface ReclaimNotice {
  readonly instance: string;
  readonly goneAt: EpochMilliseconds;
}

export abstract class PlatformAdapter {
  /** Live and leaving instances, as of some seconds ago. */
  abstract listInstances(signal: AbortSignal): Promise<readonly PlatformInstance[]>;

  abstract startInstance(start: InstanceStart, signal: AbortSignal): Promise<InstanceStartResult>;

  /** Gives an instance back; one that is gone already is no fault. */
  abstract endInstance(instance: string, signal: AbortSignal): Promise<void>;

  /** All notices that are in force. */
  abstract readNotices(signal: AbortSignal): Promise<readonly ReclaimNotice[]>;

  abstract close(): Promise<void>;
}
