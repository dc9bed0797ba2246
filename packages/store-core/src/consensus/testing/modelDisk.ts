/**
 * A model of the contents of a store's disk. The cluster model uses it as the disk of each store,
 * and the tests of LogStore compare LogStore's contents with it.
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
 * Saves a snapshot unless the disk has one at the same or a higher index. If the log has the entry
 * with the new snapshot's index and term, the entries after that one are kept; otherwise the log is
 * emptied.
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
