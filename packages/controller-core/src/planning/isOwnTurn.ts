/**
 * Capacity is taken out of service by one data centre at a time.
 *
 * Without this, two controllers that each see one instance too many would both drain one, and the
 * pool would fall below its need until the next purchase. The wall clock gives each data centre
 * its turn; a turn is far longer than the clocks differ and than the platform's list lags.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerState } from '../state.js';

export function isOwnTurn(state: ControllerState, pool: Pool): boolean {
  const dataCentres = [...pool.dataCentres].sort();
  const turnIndex = Math.floor(state.wallNow / state.policy.turnDuration) % dataCentres.length;
  return dataCentres[turnIndex] === state.dataCentre;
}
