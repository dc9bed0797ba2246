/** Reads a request body up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { BodyBytes } from '@hornbeampond/runtime';
import { HornbeampondError } from '@hornbeampond/schema';

/**
 * Decides whether there is room for the next bytes of a body, of which `receivedBytes` have come by then;
 * returns the refusal if there is none.
 */
export type HoldBytes = (bytes: number, receivedBytes: number) => HornbeampondError | undefined;

/**
 * Resolves with the complete body; rejects with `bodyTooLarge` above `maxBytes`, and with the refusal of
 * `holdBytes`. What comes after a refusal is read and discarded: a caller whose connection is closed while
 * it writes does not see the answer.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  holdBytes: HoldBytes = () => undefined,
): Promise<Buffer> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  const body = new BodyBytes(announcedBytes <= maxBytes ? announcedBytes : 0);
  let receivedBytes = 0;
  let refusal: HornbeampondError | undefined;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      throw new HornbeampondError('bodyTooLarge', `The body is above ${maxBytes} bytes`);
    }
    refusal ??= holdBytes(chunk.length, receivedBytes);
    if (refusal === undefined) body.add(chunk);
    else body.clear();
  }
  if (refusal !== undefined) throw refusal;
  return body.join();
}
