/**
 * How far shares are followed that were computed from sums of a given age: entirely while they are
 * fresh, and then less and less, until the entry decides by what it knows itself.
 */
import type { Milliseconds } from '@hornbeampond/schema';

const FRESH_MILLISECONDS: Milliseconds = 1500;
const EXPIRED_MILLISECONDS: Milliseconds = 3000;

/** From 1 to 0. */
export function weightOfAge(age: Milliseconds | undefined): number {
  if (age === undefined) return 0;
  const remaining = (EXPIRED_MILLISECONDS - age) / (EXPIRED_MILLISECONDS - FRESH_MILLISECONDS);
  return Math.min(1, Math.max(0, remaining));
}
