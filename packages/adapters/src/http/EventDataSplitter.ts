/**
 * Splits a byte stream of server-sent events into the values of their `data:` lines.
 *
 * Lines may be cut anywhere, also within a character. Comments and other fields are passed over.
 * Each event of the engines has one `data:` line, so there is nothing to join. A last line without
 * its end is not given out: it may have been cut.
 */
import { BackendServerFailure } from '../BackendServerFailure.js';

/** Bound of one line. */
export const MAX_LINE_CHARACTERS = 1024 * 1024;

const DATA_PREFIX = 'data:';

export class EventDataSplitter {
  private readonly decoder = new TextDecoder();

  private incompleteLine = '';

  /** Takes the next bytes and gives the values that they complete. */
  split(bytes: Uint8Array): string[] {
    const lines = (this.incompleteLine + this.decoder.decode(bytes, { stream: true })).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    if (this.incompleteLine.length > MAX_LINE_CHARACTERS) {
      throw new BackendServerFailure('a line of the stream is too long', {
        failure: 'malformed',
        sent: 'maybe',
      });
    }
    return lines
      .filter((line) => line.startsWith(DATA_PREFIX))
      .map((line) => line.slice(DATA_PREFIX.length).trim());
  }
}
