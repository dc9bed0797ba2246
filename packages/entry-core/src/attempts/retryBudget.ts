/**
 * Retry budgets per route and per backend server: each first attempt adds a fraction of a retry to
 * both, and each retry takes one from both. Without budgets, retries would multiply the load on
 * failing backend servers and keep them overloaded after the fault has ended. When a budget is
 * exhausted, failures are returned to the caller immediately.
 */
import type { RetryBudget, RetryState } from './RetryState.js';

export const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Largest budget of a route or a backend server, and its initial value. */
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

/** Takes one retry from both budgets after a failure at `instance`; false if either is exhausted. */
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
