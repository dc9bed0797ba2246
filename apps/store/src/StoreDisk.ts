/**
 * The disk operations that a store needs. A promise of a write resolves only once the data is synced,
 * so that nothing is acknowledged before.
 */
import type { PersistedEntryData } from '@hornbeampond/schema';
import type { PersistEffect, RestoredState, SavedSnapshot } from '@hornbeampond/store-core';

export type { SavedSnapshot };

/** What the disk holds at start. */
export interface DiskContents {
  readonly restored: RestoredState;
  readonly snapshot: SavedSnapshot | undefined;
  /** True if the folder held nothing: this disk has never been part of a cluster. */
  readonly isNew: boolean;
  /** True if this disk may have been part of a cluster under another identity; it founds none. */
  readonly wasUsed: boolean;
}

export abstract class StoreDisk {
  /** Reads the whole disk and records a new run of the process on it. */
  abstract open(instance: string): Promise<DiskContents>;

  /** Makes one batch durable. Batches are written in the order of the calls. */
  abstract write(effect: PersistEffect): Promise<void>;

  abstract saveSnapshot(snapshot: SavedSnapshot): Promise<void>;

  /** The newest snapshot, as it was saved. */
  abstract readSnapshot(): Promise<SavedSnapshot | undefined>;

  abstract discardLog(throughIndex: number): Promise<void>;

  /** What `savePersistedEntryState` saved last, or undefined. */
  abstract readPersistedEntryState(): Promise<PersistedEntryData | undefined>;

  abstract savePersistedEntryState(state: PersistedEntryData): Promise<void>;

  /**
   * After a failed write, resolves once the disk takes writes again and the next start will find what was
   * synced before the failure; rejects while it does not.
   */
  abstract restoreAfterFailure(): Promise<void>;

  abstract close(): Promise<void>;
}
