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

  /** @param from - Offset before which no line end is asked for. */
  constructor(
    private readonly bytes: Buffer,
    from: number,
  ) {
    this.lineFeed = bytes.indexOf(LINE_FEED, from);
    this.carriageReturn = bytes.indexOf(CARRIAGE_RETURN, from);
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

/** How far an incomplete event was searched for its end. */
interface EventSearch {
  /** The last line end before `from`, if the event has one. */
  readonly previous: LineEnd | undefined;
  readonly from: number;
}

/**
 * Searches for the empty line that ends an event; returns the offset just after it, or how far it searched. If
 * a CR is the last byte, the line before it decides whether the line end is complete: a stream with CR alone
 * may send nothing more until its next event.
 */
function findEventEnd(lines: LineEndFinder, search: EventSearch, length: number) {
  let { previous } = search;
  for (let line = lines.find(search.from); line !== undefined; line = lines.find(line.next)) {
    const isEmpty = line.at === previous?.next;
    const isComplete = line.kind !== 'cutCarriageReturn' || previous?.kind === 'carriageReturn';
    if (isEmpty && isComplete) return line.next;
    if (line.kind === 'cutCarriageReturn') return { previous, from: line.at };
    previous = line;
  }
  return { previous, from: length };
}

/** The same search with offsets from the beginning of the event. */
function moveSearch({ previous, from }: EventSearch, start: number): EventSearch {
  if (previous === undefined) return { previous, from: from - start };
  const { kind, at, next } = previous;
  return { previous: { kind, at: at - start, next: next - start }, from: from - start };
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

const NO_BYTES = Buffer.alloc(0);

/** The least by which the room for an incomplete event grows. */
const MIN_ROOM_BYTES = 256;

export class EventStreamSplitter {
  /** Bytes of the incomplete event, with room for more: one that comes in small chunks is not copied for each. */
  private room: Buffer = NO_BYTES;

  private restLength = 0;

  private search: EventSearch = { previous: undefined, from: 0 };

  /** True if the last event was returned with a CR at its end, to which an LF may belong that follows. */
  private mayLineFeedFollow = false;

  /** Bytes of the event that is still incomplete. */
  get pendingBytes(): Buffer {
    return this.room.subarray(0, this.restLength);
  }

  push(bytes: Uint8Array): CompleteEvents {
    const all = this.restLength === 0 ? toBuffer(bytes) : this.append(bytes);
    let end = this.skipLineFeed(all);
    let from = Math.max(end, this.search.from);
    const lines = new LineEndFinder(all, from);
    let count = 0;
    let found = findEventEnd(lines, { ...this.search, from }, all.length);
    while (typeof found === 'number') {
      end = found;
      from = found;
      count += 1;
      found = findEventEnd(lines, { previous: undefined, from }, all.length);
    }
    this.keepRest(all, end);
    this.search = moveSearch(found, end);
    if (this.restLength > MAX_EVENT_BYTES) {
      throw new BackendServerFailure('an event of the stream is too long', {
        failure: 'malformed',
      });
    }
    if (end === 0) return { bytes: NO_BYTES, lastId: undefined, count };
    const complete = all.subarray(0, end);
    this.mayLineFeedFollow = end === all.length && all[end - 1] === CARRIAGE_RETURN;
    return { bytes: complete, lastId: findLastId(complete), count };
  }

  /** Adds to the incomplete event and returns it. */
  private append(bytes: Uint8Array): Buffer {
    const length = this.restLength + bytes.length;
    if (length > this.room.length) {
      const room = Buffer.allocUnsafe(Math.max(length, 2 * this.restLength, MIN_ROOM_BYTES));
      this.room.copy(room, 0, 0, this.restLength);
      this.room = room;
    }
    this.room.set(bytes, this.restLength);
    this.restLength = length;
    return this.pendingBytes;
  }

  /** A copy: a part would keep all that was read with it, until the stream goes on. */
  private keepRest(all: Buffer, end: number): void {
    const isAppended = this.restLength > 0;
    if (isAppended && end === 0) return;
    this.restLength = all.length - end;
    this.room = this.restLength === 0 ? NO_BYTES : Buffer.from(all.subarray(end));
  }

  /** Offset at which the next event begins. */
  private skipLineFeed(bytes: Buffer): number {
    if (!this.mayLineFeedFollow || bytes.length === 0) return 0;
    this.mayLineFeedFollow = false;
    return bytes[0] === LINE_FEED ? 1 : 0;
  }
}
