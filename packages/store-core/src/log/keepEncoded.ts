/**
 * Entries with large commands as a start reads them. A log of an earlier release may hold as many of
 * them as fit on the disk, which decoded would not fit in memory.
 */
import { Encoder } from 'cbor-x';
import { estimateEntryBytes } from '../consensus/estimateEntryBytes.js';
import type { LogEntry } from '../consensus/consensusTypes.js';

const codec = new Encoder({ useRecords: false });

/** Smaller commands take less room decoded than their buffer would add. */
const MIN_ENCODED_BYTES = 16 * 1024;

/** Returns an equal entry whose command, if it is large, is kept encoded and decoded at each use. */
export function keepLargeCommandEncoded(entry: LogEntry): LogEntry {
  const { body } = entry;
  if (body.type !== 'command' || estimateEntryBytes(entry) < MIN_ENCODED_BYTES) return entry;
  // A copy, as the encoder's own buffer is shared with what it encodes next.
  const encoded = Uint8Array.from(codec.encode(body.command));
  return {
    ...entry,
    body: {
      type: 'command',
      get command(): unknown {
        return codec.decode(encoded);
      },
    },
  };
}
