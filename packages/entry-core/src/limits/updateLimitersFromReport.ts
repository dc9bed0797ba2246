/**
 * Updates the limiters with the reports of other entries. Allowances apply across all entries,
 * concurrency limits across the entries of one data centre.
 */
import type { EntryReport, MonotonicMilliseconds, SpendingReport } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function updateLimitersFromReport(
  state: EntryState,
  report: EntryReport,
  now: MonotonicMilliseconds,
): void {
  const { dataCentre, instance } = state.identity;
  if (report.instance === instance) return;
  state.limits.allowanceLimiter.receive(report, now);
  if (report.dataCentre !== dataCentre) return;
  state.limits.concurrencyLimiter.receive(report, now);
}

export function receiveSpendingReport(
  state: EntryState,
  spending: SpendingReport,
  now: MonotonicMilliseconds,
): void {
  if (spending.instance === state.identity.instance) return;
  state.limits.allowanceLimiter.receiveSpending(spending, now);
}
