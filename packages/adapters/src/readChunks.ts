import { BodyBytes } from '@hornbeampond/runtime';

/** Reads a body to its end; stops with the given error once it is longer than `maxBytes`. */
export async function readChunks(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
  makeTooLongError: () => Error,
): Promise<Buffer> {
  const body = new BodyBytes();
  for await (const chunk of chunks) {
    if (body.length + chunk.byteLength > maxBytes) throw makeTooLongError();
    body.add(chunk);
  }
  return body.join();
}
