/** Reads a body to its end; stops with the given error once it is longer than `maxBytes`. */
export async function readChunks(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
  makeTooLongError: () => Error,
): Promise<Buffer> {
  const read: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of chunks) {
    size += chunk.byteLength;
    if (size > maxBytes) throw makeTooLongError();
    read.push(chunk);
  }
  return Buffer.concat(read);
}
