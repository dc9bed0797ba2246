/**
 * How large an entry is on the wire, roughly. Appends are bounded by it: a run of large tables in
 * one append could exceed the largest frame, and the peer would then never catch up.
 */
import type { LogEntry } from './consensusTypes.js';

const BYTES_PER_VALUE = 9;

function bytesOf(value: unknown): number {
  if (typeof value === 'string') return BYTES_PER_VALUE + value.length * 3;
  if (value instanceof Uint8Array) return BYTES_PER_VALUE + value.length;
  if (typeof value !== 'object' || value === null) return BYTES_PER_VALUE;
  return Object.entries(value).reduce(
    (sum, [name, item]) => sum + BYTES_PER_VALUE + name.length + bytesOf(item),
    BYTES_PER_VALUE,
  );
}

const known = new WeakMap<LogEntry, number>();

/** Entries never change, so each is measured once. */
export function estimateEntryBytes(entry: LogEntry): number {
  const measured = known.get(entry) ?? bytesOf(entry.body);
  known.set(entry, measured);
  return measured;
}

/** The first of `entries` whose sizes add up to at most `mostBytes`, and one in any case. */
export function limitEntriesToBytes(entries: readonly LogEntry[], mostBytes: number): LogEntry[] {
  let sum = 0;
  const tooFar = entries.findIndex((entry, position) => {
    sum += estimateEntryBytes(entry);
    return position > 0 && sum > mostBytes;
  });
  return tooFar === -1 ? [...entries] : entries.slice(0, tooFar);
}
