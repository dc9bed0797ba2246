/** Which pool a call goes to, where its route splits calls among several by weight. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Route } from '@hornbeampond/schema';

/** Steps that the weights are drawn in: finer than any split that an operator can tell apart. */
const RANDOM_STEPS = 1_000_000;

export function choosePool({ pool, split }: Route, random: RandomGenerator): string {
  if (split === undefined) return pool;
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = (uniformInt(random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS) * total;
  const chosen = split.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return chosen?.pool ?? pool;
}
