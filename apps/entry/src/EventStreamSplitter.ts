/**
 * Splits a stream of server-sent events into complete events. Bytes after the last complete event are
 * retained: if a backend server fails in the middle of an event, the server that resumes the stream
 * sends that event from its beginning.
 */

import { BackendServerFailure } from '@hornbeampond/adapters';

/** A longer event counts as one that never ends. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** `cutCarriageReturn` is the last byte so far, so that an LF which belongs to it may follow. */
type LineEndKind = 'lineFeed' | 'carriageReturn' | 'cutCarriageReturn';

interface LineEnd {
  readonly kind: LineEndKind;
  /** Offset of its first byte. */
  readonly at: number;
  /** Offset of the next line. */
  readonly next: number;
}

/** The events, possibly none, that a call of `push` completes, and the rest of the last line end before. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The last id among the events; undefined if none has an id. */
  readonly lastId: string | undefined;
  readonly count: number;
}

/** Finds the ends of lines in one direction: CR and LF, LF, or CR alone. */
class LineEndFinder {
  private lineFeed = 0;

  private carriageReturn = 0;

  constructor(private readonly bytes: Buffer) {
    this.lineFeed = bytes.indexOf(LINE_FEED);
    this.carriageReturn = bytes.indexOf(CARRIAGE_RETURN);
  }

  /** The first line end at or after an offset, which must not be before that of the last call. */
  find(from: number): LineEnd | undefined {
    const { bytes } = this;
    if (this.lineFeed >= 0 && this.lineFeed < from) this.lineFeed = bytes.indexOf(LINE_FEED, from);
    if (this.carriageReturn >= 0 && this.carriageReturn < from) {
      this.carriageReturn = bytes.indexOf(CARRIAGE_RETURN, from);
    }
    const { lineFeed, carriageReturn: at } = this;
    if (at < 0 || (lineFeed >= 0 && lineFeed < at)) {
      return lineFeed < 0 ? undefined : { kind: 'lineFeed', at: lineFeed, next: lineFeed + 1 };
    }
    if (lineFeed === at + 1) return { kind: 'lineFeed', at, next: at + 2 };
    const kind = at + 1 === bytes.length ? 'cutCarriageReturn' : 'carriageReturn';
    return { kind, at, next: at + 1 };
  }
}

/**
 * Offset just after the empty line that ends the event at `from`; -1 if it is incomplete. If a CR is the last
 * byte, the line before it decides whether the line end is complete: a stream with CR alone may send nothing
 * more until its next event.
 */
function findEventEnd(lines: LineEndFinder, from: number): number {
  let previous = lines.find(from);
  if (previous === undefined) return -1;
  for (let line = lines.find(previous.next); line !== undefined; line = lines.find(line.next)) {
    const isEmpty = line.at === previous.next;
    const isComplete = line.kind !== 'cutCarriageReturn' || previous.kind === 'carriageReturn';
    if (isEmpty && isComplete) return line.next;
    previous = line;
  }
  return -1;
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** The last id in complete events; undefined if none has one. */
function findLastId(events: Buffer): string | undefined {
  for (
    let at = events.lastIndexOf(ID_FIELD);
    at >= 0;
    at = at === 0 ? -1 : events.lastIndexOf(ID_FIELD, at - 1)
  ) {
    if (at === 0 || isLineEnd(events[at - 1])) {
      const valueAt = at + ID_FIELD.length;
      const length = events.subarray(valueAt).findIndex(isLineEnd);
      return events.toString('latin1', valueAt, valueAt + length).replace(/^ /, '');
    }
  }
  return undefined;
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes);
}

export class EventStreamSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** True if the last event was returned with a CR at its end, to which an LF may belong that follows. */
  private mayLineFeedFollow = false;

  /** Bytes of the event that is still incomplete. */
  get pendingBytes(): Buffer {
    return this.rest;
  }

  push(bytes: Uint8Array): CompleteEvents {
    const all = this.rest.length === 0 ? toBuffer(bytes) : Buffer.concat([this.rest, bytes]);
    const lines = new LineEndFinder(all);
    let end = this.skipLineFeed(all);
    let count = 0;
    for (let at = findEventEnd(lines, end); at >= 0; at = findEventEnd(lines, end)) {
      end = at;
      count += 1;
    }
    this.rest = all.subarray(end);
    if (this.rest.length > MAX_EVENT_BYTES) {
      throw new BackendServerFailure('an event of the stream is too long', {
        failure: 'malformed',
      });
    }
    const complete = all.subarray(0, end);
    if (end > 0) this.mayLineFeedFollow = end === all.length && all[end - 1] === CARRIAGE_RETURN;
    return { bytes: complete, lastId: findLastId(complete), count };
  }

  /** Offset at which the next event begins. */
  private skipLineFeed(bytes: Buffer): number {
    if (!this.mayLineFeedFollow || bytes.length === 0) return 0;
    this.mayLineFeedFollow = false;
    return bytes[0] === LINE_FEED ? 1 : 0;
  }
}
