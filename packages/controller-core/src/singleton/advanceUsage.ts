/**
 * Brings the usage of each window to the platform. The counts are first settled in the log: a
 * holder that took over in between, and heard other reports than its predecessor, would otherwise
 * report the same window with other counts. What is settled may be sent any number of times.
 */
import type { Milliseconds, UsageCounts } from '@hornbeampond/schema';
import type { SingletonEffect } from './singletonEvents.js';
import type { SingletonState, UsageWindow } from './SingletonState.js';

/** After a window's end entries report once more; two reports may be lost on the way. */
const WINDOW_SETTLE_DELAY_MILLISECONDS: Milliseconds = 3200;

/** Windows before the last that are looked after: a new holder takes over what was left. */
const PREVIOUS_WINDOWS = 3;

const RETRY_DELAY_MILLISECONDS: Milliseconds = 1000;

function getUsageWindow(state: SingletonState, number: number): UsageWindow {
  const existing = state.usageWindows.get(number);
  if (existing !== undefined) return existing;
  const created = { counts: undefined, isReported: false, retryAt: Number.NEGATIVE_INFINITY };
  state.usageWindows.set(number, created);
  return created;
}

function advanceWindow(state: SingletonState, number: number, epoch: number): SingletonEffect[] {
  const window = getUsageWindow(state, number);
  if (window.isReported || window.retryAt > state.now) return [];
  window.retryAt = state.now + RETRY_DELAY_MILLISECONDS;
  if (window.counts !== undefined) {
    return [{ type: 'reportUsage', window: number, counts: window.counts, epoch }];
  }
  return [{ type: 'settleUsage', window: number, counts: state.usage.total(number) }];
}

export function advanceUsage(state: SingletonState): SingletonEffect[] {
  const { usageWindow } = state.options;
  if (usageWindow <= 0 || state.epoch === undefined) return [];
  // A system that is not configured yet has run nothing, and nobody waits for its usage.
  if (state.configuration.revision === 0) return [];
  const { epoch } = state;
  const lastWindow =
    Math.floor((state.wallNow - WINDOW_SETTLE_DELAY_MILLISECONDS) / usageWindow) - 1;
  [...state.usageWindows.keys()]
    .filter((number) => number < lastWindow - PREVIOUS_WINDOWS)
    .forEach((number) => state.usageWindows.delete(number));
  const numbers = Array.from(
    { length: PREVIOUS_WINDOWS + 1 },
    (_, offset) => lastWindow - PREVIOUS_WINDOWS + offset,
  );
  return numbers.flatMap((number) => advanceWindow(state, number, epoch));
}

/** Goes on with a window as soon as its counts are settled. */
export function handleUsageSettled(
  state: SingletonState,
  number: number,
  counts: UsageCounts,
): SingletonEffect[] {
  const window = getUsageWindow(state, number);
  window.counts = counts;
  window.retryAt = Number.NEGATIVE_INFINITY;
  return state.epoch === undefined ? [] : advanceWindow(state, number, state.epoch);
}
