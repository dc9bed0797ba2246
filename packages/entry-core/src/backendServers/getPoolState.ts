/** Returns the state of a pool, which is created on first use. */
import type { EntryState } from '../EntryState.js';
import { PoolState } from './PoolState.js';

export function getPoolState(state: EntryState, pool: string): PoolState {
  const existing = state.poolStates.get(pool);
  if (existing !== undefined) return existing;
  const created = new PoolState();
  state.poolStates.set(pool, created);
  return created;
}
