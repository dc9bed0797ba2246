/** Reads a request body up to a bound. */
import type { IncomingMessage } from 'node:http';
import { HornbeampondError } from '@hornbeampond/schema';

/** Resolves with the whole body; rejects with `bodyTooLarge` past `mostBytes`. */
export async function readBody(request: IncomingMessage, mostBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > mostBytes) {
      throw new HornbeampondError('bodyTooLarge', `The body is above ${mostBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
}
