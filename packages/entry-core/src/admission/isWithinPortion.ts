/**
 * Whether this entry may use one more slot of a contended pool for a request of this priority. A
 * fraction of a slot is used for that fraction of the time.
 */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { ageOfSums } from '../shares/ShareState.js';
import { weightOfAge } from '../shares/weightOfAge.js';

function countRunning(state: EntryState, pool: string, priority: number): number {
  let count = 0;
  state.poolStates.get(pool)?.attemptIds.forEach((attemptId) => {
    const running = state.requests.get(state.attempts.get(attemptId)?.requestId ?? '');
    if (running?.route.priority === priority) count += 1;
  });
  return count;
}

export function isWithinPortion(
  state: EntryState,
  { pool, route, firstTokenAt, isTakenUp }: RequestState,
): boolean {
  const portion = state.shares.portions.get(pool.name)?.[route.priority] ?? Infinity;
  // A stream that resumes has been admitted, and its caller is reading.
  if (portion === Infinity || firstTokenAt !== undefined || isTakenUp === true) return true;
  if (weightOfAge(ageOfSums(state.shares, state.clocks.now)) === 0) return true;
  const slots = Math.floor(portion + state.shares.drawn);
  return countRunning(state, pool.name, route.priority) < slots;
}
