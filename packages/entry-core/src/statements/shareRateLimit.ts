/**
 * Divides the limit of a backend server among the entries. Every entry computes the same division
 * from the same list of entries, so they need not agree on each request. An entry that sends only now
 * and then may still send one request at any time; so only a few entries, chosen by a hash, use a
 * server with a low limit, and the others do not use it.
 */
import { hashPosition } from '../backendServers/hashPosition.js';

/** What one entry may send to a backend server. */
export interface RateShare {
  readonly requestsPerSecond: number;
  /** Position among the entries that use the server, from 0, and their number. */
  readonly rank: number;
  readonly users: number;
}

export const NO_SHARE: RateShare = { requestsPerSecond: 0, rank: 0, users: 0 };

/**
 * All users may send one request at the same moment. With at most this many, and half of what the
 * server takes in some seconds as tolerance, that is never a burst that it has to refuse.
 */
const MAX_USERS_PER_REQUEST_PER_SECOND = 1.5;
const MAX_USERS_OF_LOWEST_LIMIT = 3;

/** A server that takes nothing could never say that it takes requests again. */
const MIN_REQUESTS_PER_SECOND = 0.1;

function countUsers(requestsPerSecond: number, entries: number): number {
  const max = requestsPerSecond * MAX_USERS_PER_REQUEST_PER_SECOND + MAX_USERS_OF_LOWEST_LIMIT;
  return Math.min(entries, Math.floor(max));
}

export interface RateLimitDivision {
  readonly backendServer: string;
  readonly requestsPerSecond: number;
  /** The entries that the limit is divided among. */
  readonly entries: readonly string[];
}

/** The share of one entry; `NO_SHARE` for one that does not use the server. */
export function shareRateLimit(
  { backendServer, requestsPerSecond, entries }: RateLimitDivision,
  entry: string,
): RateShare {
  const users = countUsers(requestsPerSecond, entries.length);
  const ranked = entries
    .map((name) => ({ name, position: hashPosition(`${backendServer}/${name}`) }))
    .sort((a, b) => a.position - b.position || (a.name < b.name ? -1 : 1));
  const rank = ranked.findIndex(({ name }) => name === entry);
  if (rank < 0 || rank >= users) return NO_SHARE;
  const total = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  return { requestsPerSecond: total / users, rank, users };
}
