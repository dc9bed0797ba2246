/** Reads a request body up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { HornbeampondError, type Milliseconds } from '@hornbeampond/schema';

/** The largest bodies are sent on and answered within about this time. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1000;

/** Decides whether there is room for the next bytes of a body, of which `receivedBytes` have come by then. */
export type HoldBytes = (bytes: number, receivedBytes: number) => boolean;

/**
 * Resolves with the complete body; rejects with `bodyTooLarge` above `maxBytes`, and with `overloaded`
 * if there is no room for it. What comes after that is read and discarded: a caller whose connection is
 * closed while it writes does not see the answer.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  holdBytes: HoldBytes = () => true,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  let hasRoom = true;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      throw new HornbeampondError('bodyTooLarge', `The body is above ${maxBytes} bytes`);
    }
    hasRoom &&= holdBytes(chunk.length, receivedBytes);
    if (hasRoom) chunks.push(chunk);
    else chunks.length = 0;
  }
  if (!hasRoom) {
    const details = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
    throw new HornbeampondError('overloaded', 'There is no room for the body', details);
  }
  return Buffer.concat(chunks, receivedBytes);
}
