/**
 * The fraction of the remaining allowance that one entry may spend before the others know of it. It
 * follows the entry's share of what the workspace spent in the window: callers come to some entries
 * ten times as often as to others. All entries calculate it from the same spending, that which is
 * old enough to have been reported to all, so that the fractions add up to at most 1.
 */
import type { Milliseconds } from '@hornbeampond/schema';

/**
 * Own spending counts from this age and that of all entries from the other. Reports may be late by
 * the difference, and yet the own spending of all entries is part of what each of them knows.
 */
export const OWN_SPENDING_AGE_MILLISECONDS: Milliseconds = 2000;
export const KNOWN_SPENDING_AGE_MILLISECONDS: Milliseconds = 700;

/** Part of the fraction that is equal at all entries, for callers who come to another entry. */
const EQUAL_PART = 0.5;

/** Slices of time are counted whole, which may make the shares of all entries add up to more. */
const ROUNDING_RESERVE = 0.95;

/** Below this fraction of the limit, spending says little about where requests arrive. */
const MIN_EVIDENCE_FRACTION_OF_LIMIT = 0.4;

export interface QuotaBasis {
  /** Number of entries. */
  readonly entries: number;
  /** Settled spending of the entry and of all entries. */
  readonly own: number;
  readonly known: number;
  readonly limit: number;
  /** True while reports of many peers are overdue, so that `known` may lack their spending. */
  readonly areReportsOverdue: boolean;
}

export function quotaFraction(basis: QuotaBasis): number {
  const { entries, own, known, limit, areReportsOverdue } = basis;
  const equalFraction = 1 / entries;
  if (known <= 0 || limit <= 0) return equalFraction;
  const evidence = Math.min(1, known / (limit * MIN_EVIDENCE_FRACTION_OF_LIMIT));
  const weight = (1 - EQUAL_PART) * evidence;
  const share = Math.min(1, own / known) * ROUNDING_RESERVE;
  const fraction = (1 - weight) * equalFraction + weight * share;
  return areReportsOverdue ? Math.min(equalFraction, fraction) : fraction;
}
