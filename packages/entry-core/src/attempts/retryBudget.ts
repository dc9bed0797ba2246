/**
 * Retry budgets. Each first attempt earns its route and its backend server a share of a retry;
 * each retry spends one of both.
 *
 * Without a bound, failing backend servers turn every request into several, and the retries keep
 * them failing after the cause is gone: a retry storm. With it, retries add at most the share, and
 * once the burst is spent a failure is passed on at once.
 */
import type { RetryBudget, RetryState } from './RetryState.js';

/** Retries earned by each first attempt. */
export const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Retries that a route or a backend server may save up; also what each starts with. */
export const MAX_SAVED_RETRIES = 10;

function getOrCreateBudget(budgets: Map<string, RetryBudget>, name: string): RetryBudget {
  const existing = budgets.get(name);
  if (existing !== undefined) return existing;
  const created = { tokens: MAX_SAVED_RETRIES };
  budgets.set(name, created);
  return created;
}

export function earnRetries(retries: RetryState, route: string, instance: string): void {
  [
    getOrCreateBudget(retries.budgetsByRoute, route),
    getOrCreateBudget(retries.budgetsByInstance, instance),
  ].forEach((budget) => {
    budget.tokens = Math.min(MAX_SAVED_RETRIES, budget.tokens + RETRIES_PER_FIRST_ATTEMPT);
  });
}

/** Spends one retry caused by a failure at `instance`; false if one of the budgets is spent. */
export function spendRetry(retries: RetryState, route: string, instance: string): boolean {
  if (!retries.policy.limitRetries) return true;
  const budgets = [
    getOrCreateBudget(retries.budgetsByRoute, route),
    getOrCreateBudget(retries.budgetsByInstance, instance),
  ];
  if (budgets.some((budget) => budget.tokens < 1)) return false;
  budgets.forEach((budget) => {
    budget.tokens -= 1;
  });
  return true;
}
