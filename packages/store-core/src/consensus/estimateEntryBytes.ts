/**
 * How large an entry is on the wire, roughly. Appends are bounded by it: a run of large tables in
 * one append could exceed the largest frame, and the peer would then never catch up. So is the log,
 * as a few hundred large tables would exhaust a store's memory.
 */
import type { LogEntry } from './consensusTypes.js';

/** Encoding overhead of one value. */
const BYTES_PER_VALUE = 9;

function estimateValueBytes(value: unknown): number {
  if (typeof value === 'string') return BYTES_PER_VALUE + value.length * 3;
  if (value instanceof Uint8Array) return BYTES_PER_VALUE + value.length;
  if (typeof value !== 'object' || value === null) return BYTES_PER_VALUE;
  return Object.entries(value).reduce(
    (sum, [name, item]) => sum + BYTES_PER_VALUE + name.length + estimateValueBytes(item),
    BYTES_PER_VALUE,
  );
}

const cachedBytes = new WeakMap<LogEntry, number>();

/** Entries never change, so each is estimated once. */
export function estimateEntryBytes(entry: LogEntry): number {
  const bytes = cachedBytes.get(entry) ?? estimateValueBytes(entry.body);
  cachedBytes.set(entry, bytes);
  return bytes;
}

/** Records the size of an entry that equals one whose size is known. */
export function recordEntryBytes(entry: LogEntry, bytes: number): void {
  cachedBytes.set(entry, bytes);
}

/** Sums of the sizes of the first 0, 1, 2 and so on entries. */
export function computeByteOffsets(entries: readonly LogEntry[]): number[] {
  const offsets = [0];
  let sum = 0;
  entries.forEach((entry) => {
    sum += estimateEntryBytes(entry);
    offsets.push(sum);
  });
  return offsets;
}

/** The longest prefix of `entries` within `maxBytes`, but at least the first entry. */
export function limitEntriesToBytes(entries: readonly LogEntry[], maxBytes: number): LogEntry[] {
  let sum = 0;
  const firstExcluded = entries.findIndex((entry, position) => {
    sum += estimateEntryBytes(entry);
    return position > 0 && sum > maxBytes;
  });
  return firstExcluded === -1 ? [...entries] : entries.slice(0, firstExcluded);
}
