/** The balance of a pool, made when it is first asked for. */
import type { EntryState } from '../EntryState.js';
import { PoolBalance } from './PoolBalance.js';

export function poolBalanceOf(state: EntryState, pool: string): PoolBalance {
  const known = state.poolStates.get(pool);
  if (known !== undefined) return known;
  const made = new PoolBalance();
  state.poolStates.set(pool, made);
  return made;
}
