/**
 * Watches how old digests are when they are applied. They arrive without a pause while a backlog of
 * them is worked off, so their age is the only sign that everything from the store arrives late.
 * The clocks of two processes differ a little, so ages are only roughly right.
 */
import type { Milliseconds } from '@hornbeampond/schema';

/** Digests are late from this age on. */
const LATE_MILLISECONDS: Milliseconds = 1000;

/** Digests are in time again at this age. */
const IN_TIME_MILLISECONDS: Milliseconds = 300;

export class DigestAgeWatch {
  private isLate = false;

  /** Records the age of a digest; returns what has changed with it, if anything. */
  record(age: Milliseconds): 'late' | 'inTime' | undefined {
    if (!this.isLate && age >= LATE_MILLISECONDS) {
      this.isLate = true;
      return 'late';
    }
    if (this.isLate && age <= IN_TIME_MILLISECONDS) {
      this.isLate = false;
      return 'inTime';
    }
    return undefined;
  }
}
