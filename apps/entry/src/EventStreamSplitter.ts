/**
 * Splits a stream of server-sent events into complete events. Bytes after the last complete event are
 * retained: if a backend server fails in the middle of an event, the server that resumes the stream
 * sends that event from its beginning.
 */

import { BackendServerFailure } from '@hornbeampond/adapters';

/** A longer event counts as one that never ends. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const ID_FIELD = 'id:';

/** The events, possibly none, that a call of `push` completes. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The last id among the events; undefined if none has an id. */
  readonly lastId: string | undefined;
  readonly count: number;
}

/** Offset just after the empty line that ends the event at `from`; -1 if it is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const nextByte = bytes[at + 1];
    if (nextByte === LINE_FEED) return at + 2;
    if (nextByte === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

/** The last id in complete events; undefined if none has one. */
function findLastId(events: Buffer): string | undefined {
  for (
    let at = events.lastIndexOf(ID_FIELD);
    at >= 0;
    at = at === 0 ? -1 : events.lastIndexOf(ID_FIELD, at - 1)
  ) {
    if (at === 0 || events[at - 1] === LINE_FEED) {
      const line = events.toString('latin1', at + ID_FIELD.length, events.indexOf(LINE_FEED, at));
      return line.replace(/^ /, '').replace(/\r$/, '');
    }
  }
  return undefined;
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes);
}

export class EventStreamSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of the event that is still incomplete. */
  get pendingBytes(): Buffer {
    return this.rest;
  }

  push(bytes: Uint8Array): CompleteEvents {
    const all = this.rest.length === 0 ? toBuffer(bytes) : Buffer.concat([this.rest, bytes]);
    let end = 0;
    let count = 0;
    for (let eventEnd = findEventEnd(all, 0); eventEnd >= 0; eventEnd = findEventEnd(all, end)) {
      end = eventEnd;
      count += 1;
    }
    this.rest = all.subarray(end);
    if (this.rest.length > MAX_EVENT_BYTES) {
      throw new BackendServerFailure('an event of the stream is too long', {
        failure: 'malformed',
      });
    }
    const complete = all.subarray(0, end);
    return { bytes: complete, lastId: findLastId(complete), count };
  }
}
