/**
 * A model of the contents of a store's disk. The cluster model keeps its disks in it, and the tests
 * of the log store check that the store on a file system holds the same.
 */
import type { PersistEffect } from '../consensusEvents.js';
import type { LogEntry, SnapshotHeader } from '../consensusTypes.js';

export interface SavedSnapshot {
  readonly header: SnapshotHeader;
  readonly data: Uint8Array;
}

export interface ModelDisk {
  runs: number;
  term: number;
  votedFor?: string;
  snapshot?: SavedSnapshot;
  entries: LogEntry[];
}

export function makeEmptyDisk(): ModelDisk {
  return { runs: 0, term: 0, entries: [] };
}

/**
 * Saves a snapshot unless one at the same or a higher index is there. Of the log the entries after
 * it are kept, or none if the log has no entry with its index and term.
 */
export function saveSnapshot(disk: ModelDisk, snapshot: SavedSnapshot): void {
  const { index, term } = snapshot.header;
  if (index <= (disk.snapshot?.header.index ?? 0)) return;
  const matchesLog = disk.entries.some((entry) => entry.index === index && entry.term === term);
  disk.entries = matchesLog ? disk.entries.filter((entry) => entry.index > index) : [];
  disk.snapshot = snapshot;
}

export function writeBatch(disk: ModelDisk, effect: PersistEffect): void {
  const { vote, snapshot, truncateFrom, entries } = effect;
  if (vote !== undefined) {
    disk.term = vote.term;
    disk.votedFor = vote.votedFor;
  }
  if (snapshot !== undefined) saveSnapshot(disk, snapshot);
  if (truncateFrom !== undefined) {
    disk.entries = disk.entries.filter((entry) => entry.index < truncateFrom);
  }
  const base = disk.snapshot?.header.index ?? 0;
  disk.entries.push(...entries.filter((entry) => entry.index > base));
}
