/** Reads a request body up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { HornbeampondError } from '@hornbeampond/schema';

/** Resolves with the complete body; rejects with `bodyTooLarge` above `maxBytes`. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      throw new HornbeampondError('bodyTooLarge', `The body is above ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, receivedBytes);
}
