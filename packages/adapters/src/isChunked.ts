/** A body is read in chunks only if that is its last encoding; otherwise it ends with its connection. */
export function isChunked(transferEncoding = ''): boolean {
  return transferEncoding.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}
