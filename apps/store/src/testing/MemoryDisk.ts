/**
 * A disk in memory that outlives the store that uses it, for running several stores in one process.
 */
import { randomUUID } from 'node:crypto';
import type { LogEntry, PersistEffect } from '@hornbeampond/store-core';
import type { PersistedEntryData } from '@hornbeampond/schema';
import { StoreDisk, type DiskContents, type SavedSnapshot } from '../StoreDisk.js';

export class MemoryDisk extends StoreDisk {
  /** True makes every write of the log fail. */
  isFull = false;

  /** True for a disk that has had another identity. */
  wasUsed = false;

  private readonly identity = randomUUID();

  private runs = 0;

  private term = 0;

  private votedFor: string | undefined;

  private entries: LogEntry[] = [];

  private snapshot: SavedSnapshot | undefined;

  private persistedEntryState: PersistedEntryData | undefined;

  override async open(instance: string): Promise<DiskContents> {
    this.runs += 1;
    return {
      restored: {
        self: { instance, identity: this.identity, run: { count: this.runs, token: randomUUID() } },
        term: this.term,
        ...(this.votedFor === undefined ? {} : { votedFor: this.votedFor }),
        ...(this.snapshot === undefined ? {} : { snapshot: this.snapshot.header }),
        entries: [...this.entries],
      },
      snapshot: this.snapshot,
      isNew: (this.term === 0 || this.votedFor === this.identity) && this.entries.length === 0,
      wasUsed: this.wasUsed,
    };
  }

  override async write({ vote, snapshot, truncateFrom, entries }: PersistEffect): Promise<void> {
    if (this.isFull) throw new Error('ENOSPC');
    if (vote !== undefined) {
      this.term = vote.term;
      this.votedFor = vote.votedFor;
    }
    if (snapshot !== undefined) {
      this.snapshot = snapshot;
      this.entries = [];
    }
    if (truncateFrom !== undefined) {
      this.entries = this.entries.filter((entry) => entry.index < truncateFrom);
    }
    this.entries.push(...entries);
  }

  override async saveSnapshot(snapshot: SavedSnapshot): Promise<void> {
    this.snapshot = snapshot;
    this.entries = this.entries.filter((entry) => entry.index > snapshot.header.index);
  }

  override async readSnapshot(): Promise<SavedSnapshot | undefined> {
    return this.snapshot;
  }

  override async discardLog(throughIndex: number): Promise<void> {
    this.entries = this.entries.filter((entry) => entry.index > throughIndex);
  }

  override async restoreAfterFailure(): Promise<void> {
    if (this.isFull) throw new Error('ENOSPC');
  }

  override async close(): Promise<void> {
    // Nothing is open.
  }

  override async readPersistedEntryState(): Promise<PersistedEntryData | undefined> {
    return this.persistedEntryState;
  }

  override async savePersistedEntryState(state: PersistedEntryData): Promise<void> {
    this.persistedEntryState = state;
  }
}
