/**
 * Estimates of the heap that a process needs for what callers send. A short header line takes some thirty
 * times its bytes: two strings, the arrays that hold them, an entry of the parsed headers, and the same
 * again in the call to a backend server.
 */

/** A connection with its parser. */
export const CONNECTION_HEAP_BYTES = 8 * 1024;

/** A request in progress, without its head. */
export const REQUEST_HEAP_BYTES = 16 * 1024;

const LINE_HEAP_BYTES = 256;

/** Text is held as received and as sent on. */
const COPIES_OF_TEXT = 2;

/** What `bytes` of a head with so many lines take, whether or not it is complete. */
export function estimateHeadHeap(bytes: number, lines: number): number {
  return bytes * COPIES_OF_TEXT + lines * LINE_HEAP_BYTES;
}
