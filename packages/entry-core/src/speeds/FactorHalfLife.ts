/**
 * Estimates for how long a stated time factor says something about the present. Each new statement
 * is compared with what each of some half-lives would have predicted from the one known before; the
 * half-life whose predictions were best is used.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const CANDIDATES_MILLISECONDS: readonly Milliseconds[] = [
  25, 50, 100, 200, 400, 800, 1600, 3200, 12_800,
];

/** Used until predictions were compared. Factors change several times a second. */
const DEFAULT_HALF_LIFE_MILLISECONDS: Milliseconds = 200;

/** A longer time between two statements says nothing about factors that change so often. */
const MAX_GAP_MILLISECONDS: Milliseconds = 10_000;

/** With fewer pairs the default is used. */
const MIN_PAIRS = 10;

/** From this number of pairs on, all sums are halved, so that recent pairs weigh more. */
const MAX_PAIRS = 400;

export class FactorHalfLife {
  /** Sum of the squared errors of the predictions, by candidate. */
  private squaredErrors = CANDIDATES_MILLISECONDS.map(() => 0);

  private pairs = 0;

  private best = DEFAULT_HALF_LIFE_MILLISECONDS;

  get value(): Milliseconds {
    return this.best;
  }

  /** Adds two successive deviations of one server from its mean, as logarithms. */
  addPair(gap: Milliseconds, earlier: number, later: number): void {
    if (gap <= 0 || gap > MAX_GAP_MILLISECONDS) return;
    this.pairs += 1;
    CANDIDATES_MILLISECONDS.forEach((halfLife, position) => {
      const error = later - earlier * 0.5 ** (gap / halfLife);
      this.squaredErrors[position] = (this.squaredErrors[position] ?? 0) + error * error;
    });
    if (this.pairs < MAX_PAIRS) return;
    this.pairs /= 2;
    this.squaredErrors = this.squaredErrors.map((sum) => sum / 2);
  }

  /** Chooses the best candidate; called now and then, since a few pairs hardly change it. */
  refresh(): void {
    if (this.pairs < MIN_PAIRS) return;
    const least = Math.min(...this.squaredErrors);
    // Without any deviation all predictions are equally good.
    if (least === Math.max(...this.squaredErrors)) return;
    this.best = CANDIDATES_MILLISECONDS[this.squaredErrors.indexOf(least)] ?? this.best;
  }
}
