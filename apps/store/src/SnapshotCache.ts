/**
 * Keeps the snapshot that is being sent in memory between its parts.
 *
 * Without it each part of a large snapshot loads and checks the whole file again, behind all
 * writes that wait for the disk; a laggard's catching up grows with the square of the size. It is
 * let go of when no part has been asked for in a while, so that it does not hold the memory for
 * ever.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { SnapshotHeader } from '@hornbeampond/store-core';
import type { SavedSnapshot } from './StoreDisk.js';

/** Above the time in which a live peer answers one part. */
const IDLE_TIMEOUT_MILLISECONDS = 10_000;

export class SnapshotCache {
  private saved: SavedSnapshot | undefined;

  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly timers: TimerService) {}

  /** The snapshot of this header, if it is the one that is kept. */
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
