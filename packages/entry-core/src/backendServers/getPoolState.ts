/** The balance of a pool, made when it is first asked for. */
import type { EntryState } from '../EntryState.js';
import { PoolState } from './PoolState.js';

export function getPoolState(state: EntryState, pool: string): PoolState {
  const known = state.poolStates.get(pool);
  if (known !== undefined) return known;
  const made = new PoolState();
  state.poolStates.set(pool, made);
  return made;
}
