/**
 * Splits a byte stream of server-sent events into the values of its `data:` lines.
 *
 * Chunks may end anywhere, even within a character. Comments and other fields are ignored. Engines
 * send one `data:` line per event, so lines are not joined. A last line without a line break is not
 * returned, since it may be truncated.
 */
import { BackendServerFailure } from '../BackendServerFailure.js';

export const MAX_LINE_CHARACTERS = 1024 * 1024;

const DATA_PREFIX = 'data:';

export class EventDataSplitter {
  private readonly decoder = new TextDecoder();

  private incompleteLine = '';

  /** Adds bytes and returns the values of the `data:` lines that they complete. */
  split(bytes: Uint8Array): string[] {
    const lines = (this.incompleteLine + this.decoder.decode(bytes, { stream: true })).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    if (this.incompleteLine.length > MAX_LINE_CHARACTERS) {
      throw new BackendServerFailure('a line of the stream is too long', {
        failure: 'malformed',
      });
    }
    return lines
      .filter((line) => line.startsWith(DATA_PREFIX))
      .map((line) => line.slice(DATA_PREFIX.length).trim());
  }
}
