/**
 * Chooses the pool of a call: the route's pool, or a random one by weight if the route has a split.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Route } from '@hornbeampond/schema';

/** Resolution of the random draw; finer than any difference in weights that matters. */
const RANDOM_STEPS = 1_000_000;

/** The pools to which calls of the route may be sent. */
export function listPools({ pool, split }: Route): readonly string[] {
  if (split === undefined) return [pool];
  return split.filter(({ weight }) => weight > 0).map((share) => share.pool);
}

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
