/** Random choices that a seed repeats. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class SeededRandom {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // The first number depends little on the seed.
    this.integer(0, 1);
  }

  /** An integer from `first` to `last`, both included. */
  integer(first: number, last: number): number {
    return uniformInt(this.generator, first, last);
  }

  boolean(): boolean {
    return this.integer(0, 1) === 1;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new Error('there is nothing to pick from');
    return item;
  }
}
