/**
 * Brings the usage of each window to the platform. The counts are first settled in the log: a
 * holder that took over in between, and heard other reports than its predecessor, would otherwise
 * report the same window with other counts. What is settled may be sent any number of times.
 */
import type { Milliseconds, UsageCounts } from '@hornbeampond/schema';
import type { SingletonEffect } from './singletonEvents.js';
import type { SingletonState, UsageWindow } from './SingletonState.js';

/** After a window's end entries report once more; two reports may be lost on the way. */
const SETTLE_AFTER_MILLISECONDS: Milliseconds = 3200;

/** Windows before the last that are looked after: a new holder takes over what was left. */
const WINDOWS_BACK = 3;

const RETRY_MILLISECONDS: Milliseconds = 1000;

function windowOf(state: SingletonState, number: number): UsageWindow {
  const known = state.usageWindows.get(number);
  if (known !== undefined) return known;
  const made = { counts: undefined, isReported: false, retryAt: Number.NEGATIVE_INFINITY };
  state.usageWindows.set(number, made);
  return made;
}

function advanceWindow(state: SingletonState, number: number, epoch: number): SingletonEffect[] {
  const window = windowOf(state, number);
  if (window.isReported || window.retryAt > state.now) return [];
  window.retryAt = state.now + RETRY_MILLISECONDS;
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
  const last = Math.floor((state.wallNow - SETTLE_AFTER_MILLISECONDS) / usageWindow) - 1;
  [...state.usageWindows.keys()]
    .filter((number) => number < last - WINDOWS_BACK)
    .forEach((number) => state.usageWindows.delete(number));
  const numbers = Array.from({ length: WINDOWS_BACK + 1 }, (_, back) => last - WINDOWS_BACK + back);
  return numbers.flatMap((number) => advanceWindow(state, number, epoch));
}

/** Goes on with a window as soon as its counts are settled. */
export function handleUsageSettled(
  state: SingletonState,
  number: number,
  counts: UsageCounts,
): SingletonEffect[] {
  const window = windowOf(state, number);
  window.counts = counts;
  window.retryAt = Number.NEGATIVE_INFINITY;
  return state.epoch === undefined ? [] : advanceWindow(state, number, state.epoch);
}
