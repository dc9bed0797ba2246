/**
 * Retry budgets per route and per backend server: each first attempt adds a fraction of a retry to
 * both, and each retry takes one from both unless it is exempt (see `failAttempt`). When either is
 * exhausted, failures are returned to the caller immediately. Without budgets, retries would
 * multiply the load on failing backend servers and keep them overloaded after the fault has ended.
 */
import type { RetryBudget, RetryState } from './RetryState.js';

export const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Capacity of each retry budget; a new budget is full. */
export const MAX_BUDGET_RETRIES = 10;

function getOrCreateBudget(budgets: Map<string, RetryBudget>, name: string): RetryBudget {
  const existing = budgets.get(name);
  if (existing !== undefined) return existing;
  const created = { remainingRetries: MAX_BUDGET_RETRIES };
  budgets.set(name, created);
  return created;
}

export function earnRetries(retries: RetryState, route: string, instance: string): void {
  [
    getOrCreateBudget(retries.budgetsByRoute, route),
    getOrCreateBudget(retries.budgetsByInstance, instance),
  ].forEach((budget) => {
    budget.remainingRetries = Math.min(
      MAX_BUDGET_RETRIES,
      budget.remainingRetries + RETRIES_PER_FIRST_ATTEMPT,
    );
  });
}

/**
 * Takes one retry from both budgets after a failure at `instance`; false if either is exhausted.
 */
export function spendRetry(retries: RetryState, route: string, instance: string): boolean {
  if (!retries.policy.limitRetries) return true;
  const budgets = [
    getOrCreateBudget(retries.budgetsByRoute, route),
    getOrCreateBudget(retries.budgetsByInstance, instance),
  ];
  if (budgets.some((budget) => budget.remainingRetries < 1)) return false;
  budgets.forEach((budget) => {
    budget.remainingRetries -= 1;
  });
  return true;
}
