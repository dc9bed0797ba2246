/**
 * Admits a fraction of the arrivals of each workspace and priority. Each arrival adds the fraction to
 * a credit, and each admitted one takes one from it, so that over time exactly the fraction is
 * admitted, evenly spread.
 */
import { hashFraction } from './hashFraction.js';

/** Bounds what an idle time, or promises to refused callers, can add up to. */
const MAX_CREDIT = 2;
const MIN_CREDIT = -4;

export class ShareCredits {
  private readonly credits = new Map<string, number>();

  /** @param seed - Differs between entries, which would otherwise admit at the same moments. */
  constructor(private readonly seed: string) {}

  /** True if the arrival is within the fraction. */
  admit(key: string, fraction: number): boolean {
    if (fraction >= 1) return true;
    const credit = Math.min(MAX_CREDIT, this.read(key) + fraction);
    const isAdmitted = credit >= 1;
    this.credits.set(key, isAdmitted ? credit - 1 : credit);
    return isAdmitted;
  }

  /** Takes one for a request that was promised to be admitted. */
  take(key: string): void {
    this.credits.set(key, Math.max(MIN_CREDIT, this.read(key) - 1));
  }

  clear(): void {
    this.credits.clear();
  }

  private read(key: string): number {
    return this.credits.get(key) ?? hashFraction(`${this.seed}/${key}`);
  }
}
