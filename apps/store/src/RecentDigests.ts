/**
 * Keeps the last digests to entries, for subscribers that were sent none for a while. They get one
 * digest of all that has changed meanwhile, or the complete one if that was long ago.
 */
import type { EntryDigest } from '@hornbeampond/schema';
import { mergeDigests } from './mergeDigests.js';

/**
 * One to two seconds of digests. After that a complete digest is hardly larger than a merged one,
 * since every entry has reported meanwhile.
 */
const MAX_DIGESTS = 40;

/**
 * Merged digests begin at one of few places, so that subscribers that are behind by about as much
 * are sent the same bytes.
 */
const MERGED_COUNTS: readonly number[] = [4, 12, MAX_DIGESTS];

export class RecentDigests {
  private digests: EntryDigest[] = [];

  add(digest: EntryDigest): void {
    this.digests.push(digest);
    if (this.digests.length > MAX_DIGESTS) this.digests.shift();
  }

  /** The sequence after which a digest for a subscriber with this one should begin, if one is kept. */
  chooseStart(sequence: number): number | undefined {
    const newest = this.digests[this.digests.length - 1];
    const oldest = this.digests[0];
    if (newest === undefined || oldest === undefined || sequence < oldest.sequence - 1) {
      return undefined;
    }
    const missing = newest.sequence - sequence;
    const count = MERGED_COUNTS.find((merged) => merged >= missing);
    if (count === undefined) return undefined;
    return Math.max(oldest.sequence - 1, newest.sequence - count);
  }

  /** All that has changed after the digest with this sequence. */
  mergeSince(sequence: number): EntryDigest {
    const merged = mergeDigests(this.digests.filter((digest) => digest.sequence > sequence));
    return { ...merged, since: sequence };
  }
}
