/**
 * What a store needs of its disk. Whatever resolves here is synced; nothing is acknowledged to
 * anyone before.
 */
import type { RememberedEntries } from '@hornbeampond/schema';
import type { PersistEffect, RestoredState, SavedSnapshot } from '@hornbeampond/store-core';

export type { SavedSnapshot };

/** What the disk holds at start. */
export interface DiskContents {
  readonly restored: RestoredState;
  readonly snapshot: SavedSnapshot | undefined;
  /** True if the folder held nothing: this disk has never been part of a cluster. */
  readonly isNew: boolean;
}

export abstract class StoreDisk {
  /** Reads the whole disk and counts a new run of the process on it. */
  abstract open(instance: string): Promise<DiskContents>;

  /** Makes one batch durable. Batches are handed in one after another. */
  abstract write(batch: PersistEffect): Promise<void>;

  abstract saveSnapshot(snapshot: SavedSnapshot): Promise<void>;

  /** The newest snapshot, as it was saved. */
  abstract readSnapshot(): Promise<SavedSnapshot | undefined>;

  abstract discardLog(throughIndex: number): Promise<void>;

  /** What `saveMemory` kept last, or undefined. */
  abstract readPersistedEntryState(): Promise<RememberedEntries | undefined>;

  abstract savePersistedEntryState(state: RememberedEntries): Promise<void>;

  abstract close(): Promise<void>;
}
