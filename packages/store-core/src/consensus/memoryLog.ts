/**
 * Reads and changes the log in memory. Appended and truncated entries are marked for the next
 * `persist` effect; compaction is not, because a snapshot on disk already covers it.
 */
import type { EntryBody, LogEntry } from './consensusTypes.js';
import type { ConsensusState } from './ConsensusState.js';
import { estimateEntryBytes } from './estimateEntryBytes.js';

export function lastIndexOf(state: ConsensusState): number {
  return state.log.base.index + state.log.entries.length;
}

export function lastTermOf(state: ConsensusState): number {
  return state.log.entries.at(-1)?.term ?? state.log.base.term;
}

export function entryAt(state: ConsensusState, index: number): LogEntry | undefined {
  return state.log.entries[index - state.log.base.index - 1];
}

/** Term of the entry at `index`, or undefined if it is compacted or not in the log yet. */
export function termAt(state: ConsensusState, index: number): number | undefined {
  if (index === state.log.base.index) return state.log.base.term;
  return entryAt(state, index)?.term;
}

export function entriesFrom(state: ConsensusState, index: number, maxEntries: number): LogEntry[] {
  const start = index - state.log.base.index - 1;
  return state.log.entries.slice(start, start + maxEntries);
}

/** Estimated size of the entries after `index`, up to and including `lastIndex`. */
export function bytesAfter(
  { log }: ConsensusState,
  index: number,
  lastIndex = log.base.index + log.entries.length,
): number {
  const offsetAt = (at: number) => log.byteOffsets[Math.max(0, at - log.base.index)] ?? 0;
  return offsetAt(lastIndex) - offsetAt(index);
}

function markUnpersisted(state: ConsensusState, index: number): void {
  state.dirty.firstNewIndex = Math.min(state.dirty.firstNewIndex ?? index, index);
}

/** Appends an entry, made here or received from a leader. */
export function appendEntry(state: ConsensusState, entry: LogEntry): void {
  const { entries, byteOffsets } = state.log;
  byteOffsets.push((byteOffsets.at(-1) ?? 0) + estimateEntryBytes(entry));
  entries.push(entry);
  markUnpersisted(state, entry.index);
  if (entry.body.type === 'membership') {
    state.memberships.push({ index: entry.index, membership: entry.body.membership });
  }
}

/**
 * Makes and appends an entry of this leader's term. Its time is never before that of the previous
 * entry.
 */
export function appendNewEntry(state: ConsensusState, body: EntryBody, wallNow: number): LogEntry {
  const previousAt = state.log.entries.at(-1)?.at ?? state.log.base.at;
  const entry = {
    index: lastIndexOf(state) + 1,
    term: state.term,
    at: Math.max(wallNow, previousAt),
    body,
  };
  appendEntry(state, entry);
  return entry;
}

/**
 * Drops all entries from `index` on, because the leader's log differs there.
 *
 * @throws If a committed entry would be dropped. Only a faulty disk or voter can cause that;
 * continuing would give callers two histories, so the process must stop.
 */
export function truncateLog(state: ConsensusState, index: number): void {
  if (index <= state.commitIndex) {
    throw new Error(`A leader's log differs from the committed entry at index ${index}`);
  }
  state.log.entries.length = index - state.log.base.index - 1;
  state.log.byteOffsets.length = state.log.entries.length + 1;
  state.memberships = state.memberships.filter((item) => item.index < index);
  state.dirty.truncateFrom = Math.min(state.dirty.truncateFrom ?? index, index);
  if (state.dirty.firstNewIndex !== undefined && state.dirty.firstNewIndex >= index) {
    state.dirty.firstNewIndex = undefined;
  }
  state.durableIndex = Math.min(state.durableIndex, index - 1);
  state.unsyncedBatches.forEach((unsyncedBatch) => {
    unsyncedBatch.lastIndex = Math.min(unsyncedBatch.lastIndex, index - 1);
  });
}

/** Drops entries up to and including `index` from memory; a snapshot on disk covers them. */
export function compactLog(state: ConsensusState, index: number): void {
  const base = entryAt(state, index);
  if (base === undefined) return;
  const count = index - state.log.base.index;
  state.log.entries.splice(0, count);
  state.log.byteOffsets.splice(0, count);
  state.log.base = { index, term: base.term, at: base.at };
}
