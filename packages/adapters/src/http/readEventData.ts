/**
 * Splits a byte stream of server-sent events into the values of their `data:` lines.
 *
 * Lines may be cut anywhere, also within a character. Comments and other fields are passed over.
 * Each event of the engines has one `data:` line, so there is nothing to join.
 */
import { BackendServerFailure } from '../BackendServerFailure.js';

/** Bound of one line. */
export const MOST_LINE_CHARACTERS = 1024 * 1024;

const DATA_PREFIX = 'data:';

function readLine(line: string): string | undefined {
  if (!line.startsWith(DATA_PREFIX)) return undefined;
  return line.slice(DATA_PREFIX.length).trim();
}

export async function* readEventData(bytes: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const part of bytes) {
    const lines = (rest + decoder.decode(part, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MOST_LINE_CHARACTERS) {
      throw new BackendServerFailure('a line of the stream is too long', {
        failure: 'malformed',
        sent: 'maybe',
      });
    }
    for (const line of lines) {
      const data = readLine(line);
      if (data !== undefined) yield data;
    }
  }
}
