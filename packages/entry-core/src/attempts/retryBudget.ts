/**
 * Retry budgets per pool and per backend server: each first attempt adds a fraction of a retry to
 * both, and each retry takes one from both unless it is exempt (see `failAttempt`). When either is
 * exhausted, failures are returned to the caller immediately. Without budgets, retries would
 * multiply the load on failing backend servers and keep them overloaded after the fault has ended.
 *
 * Each entry keeps its own budgets. What they earn adds up to a fraction of all requests. What they
 * have saved up would add up to a multiple of it, so the more entries there are, the less each saves.
 *
 * Hedges are paid from half of what a pool's budget earns while it is full, so that they never take
 * what failures need, and not while the budget is short.
 */
import type { RetryBudget, RetryState } from './RetryState.js';

export const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Most retries that one entry saves up for a pool or a backend server. */
export const MAX_BUDGET_RETRIES = 10;

/** Retries that all entries together save up for a pool, if there are not more entries than that. */
const MAX_SAVED_RETRIES_OF_ALL_ENTRIES = 40;

/** An entry that has just started does not know yet how many there are. */
const INITIAL_RETRIES = 5;

/** What a retry is taken from. */
export interface RetrySource {
  readonly pool: string;
  /** Where the attempt failed, or is sent for the first time. */
  readonly instance: string;
  /** Number of entries, including this one. */
  readonly entryCount: number;
}

function maxSavedForPool(entryCount: number): number {
  const share = MAX_SAVED_RETRIES_OF_ALL_ENTRIES / entryCount;
  return Math.min(MAX_BUDGET_RETRIES, Math.max(1, share));
}

/** Fraction of what a full budget earns that is saved for hedges. */
const HEDGED_FRACTION_OF_SURPLUS = 0.5;

/** Hedges are sent only while a pool's budget holds at least this fraction of its maximum. */
const MIN_BUDGET_FRACTION_FOR_HEDGES = 0.5;

/** The pool that a hedge is sent in, and the number of entries, including this one. */
export type HedgeSource = Pick<RetrySource, 'pool' | 'entryCount'>;

function getOrCreateBudget(
  budgets: Map<string, RetryBudget>,
  name: string,
  initial: number,
): RetryBudget {
  const existing = budgets.get(name);
  if (existing !== undefined) return existing;
  const created = { remainingRetries: initial };
  budgets.set(name, created);
  return created;
}

/** The budgets of a pool and of a backend server, with the most that each saves up. */
function findBudgets(
  { budgetsByPool, budgetsByInstance }: RetryState,
  { pool, instance, entryCount }: RetrySource,
) {
  return [
    {
      budget: getOrCreateBudget(budgetsByPool, pool, INITIAL_RETRIES),
      max: maxSavedForPool(entryCount),
    },
    {
      budget: getOrCreateBudget(budgetsByInstance, instance, MAX_BUDGET_RETRIES),
      max: MAX_BUDGET_RETRIES,
    },
  ];
}

/** Saves a part of what the pool's budget cannot hold. */
function saveForHedges(retries: RetryState, { pool, entryCount }: HedgeSource): void {
  const { savedHedgesByPool } = retries;
  const max = maxSavedForPool(entryCount);
  const budget = getOrCreateBudget(retries.budgetsByPool, pool, INITIAL_RETRIES);
  const surplus = budget.remainingRetries + RETRIES_PER_FIRST_ATTEMPT - max;
  const earned = Math.min(RETRIES_PER_FIRST_ATTEMPT, Math.max(0, surplus));
  const saved = (savedHedgesByPool.get(pool) ?? 0) + earned * HEDGED_FRACTION_OF_SURPLUS;
  savedHedgesByPool.set(pool, Math.min(saved, Math.max(1, max / 2)));
}

/** What the decision about a hedge depends on. */
export function readHedgeBudget(retries: RetryState, { pool }: HedgeSource) {
  const { remainingRetries } = getOrCreateBudget(retries.budgetsByPool, pool, INITIAL_RETRIES);
  return { remainingRetries, savedHedges: retries.savedHedgesByPool.get(pool) ?? 0 };
}

/** True if a hedge can be paid and the pool's budget is not short. */
export function canSpendHedge(retries: RetryState, source: HedgeSource): boolean {
  if (!retries.policy.limitRetries) return true;
  const { remainingRetries, savedHedges } = readHedgeBudget(retries, source);
  const min = maxSavedForPool(source.entryCount) * MIN_BUDGET_FRACTION_FOR_HEDGES;
  return savedHedges >= 1 && remainingRetries >= min;
}

export function spendHedge({ savedHedgesByPool }: RetryState, { pool }: HedgeSource): void {
  savedHedgesByPool.set(pool, Math.max(0, (savedHedgesByPool.get(pool) ?? 0) - 1));
}

/** Adds what the first attempt of a request earns. */
export function earnRetries(retries: RetryState, source: RetrySource): void {
  saveForHedges(retries, source);
  findBudgets(retries, source).forEach(({ budget, max }) => {
    budget.remainingRetries = Math.min(max, budget.remainingRetries + RETRIES_PER_FIRST_ATTEMPT);
  });
}

/** Takes one retry from both budgets after a failure; false if either is exhausted. */
export function spendRetry(retries: RetryState, source: RetrySource): boolean {
  if (!retries.policy.limitRetries) return true;
  const budgets = findBudgets(retries, source).map(({ budget }) => budget);
  if (budgets.some((budget) => budget.remainingRetries < 1)) return false;
  budgets.forEach((budget) => {
    budget.remainingRetries -= 1;
  });
  return true;
}
