/**
 * Cuts a stream of server-sent events into whole events. Bytes after the last whole event are kept
 * back: a backend server may break off in the middle of an event, and its successor sends that
 * event from its beginning.
 */

const LINE_FEED = 0x0a;

/** One or more whole events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The id of the last of them, if it has one. */
  readonly lastId: string | undefined;
  readonly count: number;
}

/** Where the event that begins at `from` ends, after its empty line; -1 if it is not whole. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function findEventId(event: string): string | undefined {
  return /^id:[ ]?(.*?)\r?$/m.exec(event)?.[1];
}

export class EventStreamSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): Buffer {
    return this.remainder;
  }

  push(bytes: Uint8Array): CompleteEvents {
    const all =
      this.remainder.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.remainder, bytes]);
    let end = 0;
    let count = 0;
    let lastId: string | undefined;
    for (let next = findEventEnd(all, 0); next >= 0; next = findEventEnd(all, end)) {
      lastId = findEventId(all.toString('latin1', end, next)) ?? lastId;
      end = next;
      count += 1;
    }
    this.remainder = all.subarray(end);
    return { bytes: all.subarray(0, end), lastId, count };
  }
}
