/**
 * Settles the usage counts of each window in the replicated log, then reports them to the platform.
 * Without settling, a new lease holder that received other entry reports than its predecessor could
 * report the same window with different counts. Settled counts may be reported any number of times.
 */
import type { Milliseconds, UsageCounts } from '@hornbeampond/schema';
import type { SingletonEffect } from './singletonEvents.js';
import type { SingletonState, UsageWindow } from './SingletonState.js';

/**
 * The counts of a window are complete in the first report of each entry after its end. Entries
 * report every second; the delay allows for two lost reports.
 */
const WINDOW_SETTLE_DELAY_MILLISECONDS: Milliseconds = 3200;

/**
 * Number of windows before the last one that are also settled and reported if that has not been
 * done, so that a new lease holder completes what its predecessor left.
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

/**
 * Returns the next step for a window: settle its counts, or report the settled ones. Returns
 * nothing if the window was reported or the last step was too recent.
 */
function startNextStep(
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

/**
 * Starts the next step for the last window that ended long enough ago and for the
 * `PREVIOUS_WINDOW_COUNT` windows before it. Removes older windows.
 */
export function advanceUsage(state: SingletonState): SingletonEffect[] {
  const { usageWindow: windowMilliseconds } = state.options;
  if (windowMilliseconds <= 0 || state.epoch === undefined) return [];
  // Before the first configuration no request has run, so there is nothing to report.
  if (state.configuration.revision === 0) return [];
  const { epoch } = state;
  const lastWindow =
    Math.floor((state.wallNow - WINDOW_SETTLE_DELAY_MILLISECONDS) / windowMilliseconds) - 1;
  [...state.usageWindows.keys()]
    .filter((windowNumber) => windowNumber < lastWindow - PREVIOUS_WINDOW_COUNT)
    .forEach((windowNumber) => state.usageWindows.delete(windowNumber));
  const windowNumbers = Array.from(
    { length: PREVIOUS_WINDOW_COUNT + 1 },
    (_, offset) => lastWindow - PREVIOUS_WINDOW_COUNT + offset,
  );
  return windowNumbers.flatMap((windowNumber) => startNextStep(state, windowNumber, epoch));
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
  return state.epoch === undefined ? [] : startNextStep(state, windowNumber, state.epoch);
}
