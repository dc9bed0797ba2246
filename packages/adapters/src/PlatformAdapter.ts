/**
 * Interface to the platform that provides instances. Its instance list lags, and different
 * processes may see a reclaim notice at different times.
 *
 * No method retries or has a timeout of its own. Every failure is a `BackendServerFailure`.
 */
import type { EpochMilliseconds, PlatformInstance, SkippedInstance } from '@hornbeampond/schema';

export interface InstanceStart {
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  /** Idempotency key: a start can be resent with it without starting a second instance. */
  readonly startToken: string;
}

export type InstanceStartResult =
  | { readonly type: 'started'; readonly instance: PlatformInstance }
  /** The platform has no instance to offer; none was started. */
  | { readonly type: 'refused'; readonly reason: string };

/** Announcement by the platform that it will reclaim an instance. */
export interface ReclaimNotice {
  readonly instance: string;
  readonly goneAt: EpochMilliseconds;
}

export abstract class PlatformAdapter {
  /** Called after each reading of instances or notices with the rows that cannot be used, if there are any. */
  onSkipped: (skipped: readonly SkippedInstance[]) => void = () => {};

  /** Lists live and leaving instances; the list may be seconds old. */
  abstract listInstances(signal: AbortSignal): Promise<readonly PlatformInstance[]>;

  abstract startInstance(start: InstanceStart, signal: AbortSignal): Promise<InstanceStartResult>;

  /** Ends an instance. Succeeds if the instance does not exist any more. */
  abstract endInstance(instance: string, signal: AbortSignal): Promise<void>;

  /** Reads all reclaim notices in force. */
  abstract readNotices(signal: AbortSignal): Promise<readonly ReclaimNotice[]>;

  abstract close(): Promise<void>;
}
