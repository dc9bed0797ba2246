/**
 * The slots of a contended pool that one entry may use for each priority: what more urgent
 * priorities leave, in proportion to the entry's part of the demand. Without it all entries send a
 * queued request to each slot that a digest shows as free: 40 entries had 566 requests in progress
 * at 160 slots. Priorities that are served entirely are not bounded.
 */
import type { Milliseconds, UseCell } from '@hornbeampond/schema';
import { computeOfferedWork, type PoolShares } from './computeShares.js';

/**
 * Where requests take less, slots become free sooner than anybody hears of it, and the portion of
 * one of many entries in a small pool would be less than a slot.
 */
const MIN_SERVICE_MILLISECONDS: Milliseconds = 250;

/** Slots below this fraction of all are lent to whoever asks for them. */
const LENT_BELOW_FRACTION_OF_SLOTS = 0.95;

function sumOfferedWork(cells: Iterable<UseCell>, priority: number): number {
  let sum = 0;
  for (const cell of cells) if (cell.priority === priority) sum += computeOfferedWork(cell);
  return sum;
}

/**
 * @param ownCells - The use of this entry.
 * @returns The slots by priority; may be fractions.
 */
export function computeEntryPortion(
  { slots, running, serviceMilliseconds, priorities, cells }: PoolShares,
  ownCells: readonly UseCell[],
): number[] {
  if (serviceMilliseconds < MIN_SERVICE_MILLISECONDS) return priorities.map(() => Infinity);
  const lent = Math.max(0, slots * LENT_BELOW_FRACTION_OF_SLOTS - running);
  let left = slots;
  return priorities.map(({ demand, share }, priority) => {
    const available = left + lent;
    left = Math.max(0, left - demand);
    if (demand > 0 && share >= demand) return Infinity;
    const own = sumOfferedWork(ownCells, priority);
    const total = Math.max(own, sumOfferedWork(cells.values(), priority));
    return total === 0 ? available : (available * own) / total;
  });
}
