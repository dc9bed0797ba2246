import { BodyBytes } from '@hornbeampond/runtime';

function toBuffer({ buffer, byteOffset, byteLength }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}

/** Reads a body to its end; stops with the given error once it is longer than `maxBytes`. */
export async function readChunks(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
  makeTooLongError: () => Error,
): Promise<Buffer> {
  const body = new BodyBytes();
  for await (const chunk of chunks) {
    if (body.length + chunk.byteLength > maxBytes) throw makeTooLongError();
    body.add(toBuffer(chunk));
  }
  return body.join();
}
