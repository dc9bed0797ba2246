/**
 * Slots of a backend server that a request leaves free for more urgent priorities. Fractions of a slot
 * are kept by as many of the servers, chosen by a hash of their names, so that all entries leave the
 * same slots free.
 */

const MAX_KEPT_FRACTION_OF_LIMIT = 0.5;

/**
 * Whole slots that are kept free at one server with this concurrency limit.
 *
 * @param hash - Of the server's name, from 0 to 1.
 */
export function keptAt(perServer: number, limit: number, hash: number): number {
  const bounded = Math.min(perServer, limit * MAX_KEPT_FRACTION_OF_LIMIT);
  return Math.floor(bounded + hash);
}
