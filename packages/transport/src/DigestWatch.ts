/**
 * Notices that a store sends no digests although its connection is open, because it is frozen or
 * short of processor time. The connection itself is closed only after five heartbeats, and until
 * then the subscriber would decide with what it knew before.
 *
 * While many bytes arrive the store is not silent: a large digest may be under way on a slow link.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

export const DIGEST_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 100;

/** Every entry reports once a second, and a store sends a report on within 50 ms. */
const MAX_SILENCE_MILLISECONDS: Milliseconds = 1100;

/** Applies while digests are frequent, because there are many entries. */
const MAX_SILENCE_AFTER_FREQUENT_DIGESTS_MILLISECONDS: Milliseconds = 300;

/** Digests are frequent if there was no longer pause than this for a while. */
const LONG_PAUSE_MILLISECONDS: Milliseconds = 150;
const FREQUENT_PERIOD_MILLISECONDS: Milliseconds = 10_000;

export class DigestWatch {
  private digestAt: MonotonicMilliseconds;

  private longPauseAt: MonotonicMilliseconds;

  private checkedAt: MonotonicMilliseconds;

  /** True once a second digest has arrived; a store of an older version sends none. */
  private isSending = false;

  /** @param now - When the first digest has arrived. */
  constructor(now: MonotonicMilliseconds) {
    this.digestAt = now;
    this.longPauseAt = now;
    this.checkedAt = now;
  }

  recordDigest(now: MonotonicMilliseconds): void {
    if (now - this.digestAt > LONG_PAUSE_MILLISECONDS) this.longPauseAt = now;
    this.digestAt = now;
    this.isSending = true;
  }

  /**
   * True if the store should have sent a digest; to be called regularly.
   *
   * @param bulkReceivedAt - When more than heartbeats and short answers last arrived from the store.
   */
  isSilent(now: MonotonicMilliseconds, bulkReceivedAt: MonotonicMilliseconds): boolean {
    // While this process was frozen or busy itself, digests may have arrived and not been read.
    const wasDelayed = now - this.checkedAt > 2 * DIGEST_CHECK_INTERVAL_MILLISECONDS;
    this.checkedAt = now;
    if (wasDelayed) this.digestAt = now;
    const isFrequent = now - this.longPauseAt > FREQUENT_PERIOD_MILLISECONDS;
    const maxSilence = isFrequent
      ? MAX_SILENCE_AFTER_FREQUENT_DIGESTS_MILLISECONDS
      : MAX_SILENCE_MILLISECONDS;
    return this.isSending && now - Math.max(this.digestAt, bulkReceivedAt) > maxSilence;
  }
}
