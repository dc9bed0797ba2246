/**
 * Keeps the snapshot that is being sent in memory between its parts. Without the cache every part would
 * read and verify the whole file again, and the transfer time would grow with the square of the size.
 * The snapshot is released when no part has been requested for a while.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { SnapshotHeader } from '@hornbeampond/store-core';
import type { SavedSnapshot } from './StoreDisk.js';

/** Longer than a reachable peer takes to acknowledge one part. */
const IDLE_TIMEOUT_MILLISECONDS = 10_000;

export class SnapshotCache {
  private saved: SavedSnapshot | undefined;

  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly timers: TimerService) {}

  /** Returns the cached snapshot if it has this header, and restarts the idle timeout. */
  find({ index, term }: SnapshotHeader): SavedSnapshot | undefined {
    const { saved } = this;
    if (saved?.header.index !== index || saved.header.term !== term) return undefined;
    this.keep(saved);
    return saved;
  }

  keep(saved: SavedSnapshot): void {
    this.saved = saved;
    this.cancelTimer();
    this.cancelTimer = this.timers.after(IDLE_TIMEOUT_MILLISECONDS, () => this.clear());
  }

  clear(): void {
    this.cancelTimer();
    this.saved = undefined;
  }
}
