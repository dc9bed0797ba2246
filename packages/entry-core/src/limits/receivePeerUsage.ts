/**
 * Passes the usage that other entries report to the limiters. Allowances hold over all entries,
 * concurrency limits only within a data centre.
 */
import type { EntryReport, MonotonicMilliseconds, SpendingReport } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function receivePeerUsage(
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
