/**
 * Replays the segments of a log into entries. An incomplete frame at the end of the last segment is
 * an unfinished write and left out; any other invalid frame, or a missing index, is damage.
 */
import type { LogEntry, SnapshotHeader } from '../consensus/consensusTypes.js';
import { decodeFrame, hasValidFrameFrom } from './frames.js';
import { keepLargeCommandEncoded } from './keepEncoded.js';
import { makeDamagedLogError } from './logErrors.js';

/** One change of the log; a frame holds a list of them. */
export interface LogOperation {
  /** Drops all entries; the next entry follows a snapshot. */
  readonly reset?: boolean;
  /** Drops the entries from this index on. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
}

export interface SegmentContent {
  readonly name: string;
  readonly content: Uint8Array;
}

export interface ReplayedSegment {
  readonly name: string;
  /** Length of the valid frames, in bytes. */
  readonly byteLength: number;
  /** Highest index of any entry in the segment, including entries dropped since. */
  readonly highestIndex: number;
}

export function findHighestIndex(operations: readonly LogOperation[]): number {
  return Math.max(0, ...operations.map(({ entries }) => entries.at(-1)?.index ?? 0));
}

function replayOperation(
  entries: LogEntry[],
  operation: LogOperation,
  makeError: (reason: string) => Error,
): void {
  const { truncateFrom } = operation;
  if (operation.reset) entries.length = 0;
  const firstIndex = entries[0]?.index;
  if (truncateFrom !== undefined && firstIndex !== undefined) {
    entries.length = Math.min(entries.length, Math.max(0, truncateFrom - firstIndex));
  }
  operation.entries.forEach((entry) => {
    const previous = entries.at(-1);
    if (previous !== undefined && entry.index !== previous.index + 1) {
      throw makeError(`entry ${entry.index} follows entry ${previous.index}`);
    }
    entries.push(keepLargeCommandEncoded(entry));
  });
}

/**
 * Adds the entries of the next segment to those of the segments before it; throws if a segment other
 * than the last ends in an incomplete frame.
 */
export function replaySegment(
  entries: LogEntry[],
  { name, content }: SegmentContent,
  isLast: boolean,
): ReplayedSegment {
  let offset = 0;
  let highestIndex = 0;
  while (offset < content.length) {
    const frame = decodeFrame(content, offset);
    if (frame === undefined) break;
    const operations = frame.value as readonly LogOperation[];
    const start = offset;
    operations.forEach((operation) =>
      replayOperation(entries, operation, (reason) => makeDamagedLogError(name, start, reason)),
    );
    highestIndex = Math.max(highestIndex, findHighestIndex(operations));
    offset = frame.endOffset;
  }
  if (offset < content.length && (!isLast || hasValidFrameFrom(content, offset + 1))) {
    throw makeDamagedLogError(name, offset);
  }
  return { name, byteLength: offset, highestIndex };
}

/**
 * Selects the entries that follow a snapshot. There are none if the log ends before the snapshot's
 * index or has an entry of another term there; throws if entries after the snapshot are missing.
 */
export function selectEntriesAfterSnapshot(
  header: SnapshotHeader | undefined,
  entries: readonly LogEntry[],
  lastSegment: string,
): readonly LogEntry[] {
  const index = header?.index ?? 0;
  const first = entries[0];
  if (first === undefined) return [];
  if (first.index > index + 1) {
    const reason = `the log begins at entry ${first.index}, the snapshot ends at ${index}`;
    throw makeDamagedLogError(lastSegment, 0, reason);
  }
  if (first.index === index + 1) return entries;
  const entryAtSnapshot = entries[index - first.index];
  return entryAtSnapshot?.term === header?.term ? entries.slice(index - first.index + 1) : [];
}
