/**
 * Entries with large commands as a start reads them. A log of an earlier release may hold as many of
 * them as fit on the disk, which decoded would not fit in memory.
 */
import { estimateEntryBytes, recordEntryBytes } from '../consensus/estimateEntryBytes.js';
import type { LogEntry } from '../consensus/consensusTypes.js';
import { codec } from './frames.js';

/** Smaller commands take less room decoded than their buffer would add. */
const MIN_ENCODED_BYTES = 16 * 1024;

/** Returns an equal entry whose command, if it is large, is kept encoded and decoded at each use. */
export function keepLargeCommandEncoded(entry: LogEntry): LogEntry {
  const { body } = entry;
  if (body.type !== 'command') return entry;
  const bytes = estimateEntryBytes(entry);
  if (bytes < MIN_ENCODED_BYTES) return entry;
  // A copy, as the encoder's own buffer is shared with what it encodes next.
  const encoded = Buffer.from(codec.encode(body.command));
  const kept: LogEntry = {
    ...entry,
    body: {
      type: 'command',
      get command(): unknown {
        return codec.decode(encoded);
      },
    },
  };
  recordEntryBytes(kept, bytes);
  return kept;
}
