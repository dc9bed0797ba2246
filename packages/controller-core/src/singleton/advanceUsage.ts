/**
 * Settles the usage counts of each window in the replicated log, then reports them to the platform.
 * Without settling, a new lease holder that received other entry reports than its predecessor could
 * report the same window with different counts. Settled counts may be reported any number of times.
 */
import type { Milliseconds, UsageCounts } from '@hornbeampond/schema';
import type { SingletonEffect } from './singletonEvents.js';
import type { SingletonState, UsageWindow } from './SingletonState.js';

/**
 * Entries report once more after the end of a window; this leaves time for two of their reports to
 * be lost.
 */
const WINDOW_SETTLE_DELAY_MILLISECONDS: Milliseconds = 3200;

/**
 * Number of earlier windows that are still settled and reported, so that a new holder completes
 * what its predecessor left.
 */
const PREVIOUS_WINDOW_COUNT = 3;

const RETRY_DELAY_MILLISECONDS: Milliseconds = 1000;

function getUsageWindow(state: SingletonState, windowNumber: number): UsageWindow {
  const existing = state.usageWindows.get(windowNumber);
  if (existing !== undefined) return existing;
  const created = { counts: undefined, isReported: false, retryAt: Number.NEGATIVE_INFINITY };
  state.usageWindows.set(windowNumber, created);
  return created;
}

/** Returns the next step for a window: settle its counts, or report the settled ones. */
function advanceWindow(
  state: SingletonState,
  windowNumber: number,
  epoch: number,
): SingletonEffect[] {
  const window = getUsageWindow(state, windowNumber);
  if (window.isReported || window.retryAt > state.now) return [];
  window.retryAt = state.now + RETRY_DELAY_MILLISECONDS;
  if (window.counts !== undefined) {
    return [{ type: 'reportUsage', window: windowNumber, counts: window.counts, epoch }];
  }
  return [{ type: 'settleUsage', window: windowNumber, counts: state.usage.total(windowNumber) }];
}

/** Advances the last window that ended long enough ago, and the windows before it. */
export function advanceUsage(state: SingletonState): SingletonEffect[] {
  const { usageWindow } = state.options;
  if (usageWindow <= 0 || state.epoch === undefined) return [];
  // Before the first configuration no request has run, so there is nothing to report.
  if (state.configuration.revision === 0) return [];
  const { epoch } = state;
  const lastWindow =
    Math.floor((state.wallNow - WINDOW_SETTLE_DELAY_MILLISECONDS) / usageWindow) - 1;
  [...state.usageWindows.keys()]
    .filter((windowNumber) => windowNumber < lastWindow - PREVIOUS_WINDOW_COUNT)
    .forEach((windowNumber) => state.usageWindows.delete(windowNumber));
  const windowNumbers = Array.from(
    { length: PREVIOUS_WINDOW_COUNT + 1 },
    (_, offset) => lastWindow - PREVIOUS_WINDOW_COUNT + offset,
  );
  return windowNumbers.flatMap((windowNumber) => advanceWindow(state, windowNumber, epoch));
}

/** Stores the settled counts and, if this process holds the lease, reports them. */
export function handleUsageSettled(
  state: SingletonState,
  windowNumber: number,
  counts: UsageCounts,
): SingletonEffect[] {
  const window = getUsageWindow(state, windowNumber);
  window.counts = counts;
  window.retryAt = Number.NEGATIVE_INFINITY;
  return state.epoch === undefined ? [] : advanceWindow(state, windowNumber, state.epoch);
}
