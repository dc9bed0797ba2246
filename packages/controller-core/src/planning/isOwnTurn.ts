/**
 * Lets only one data centre at a time take capacity out of service, by turns of the wall clock.
 *
 * Otherwise two controllers that each see one surplus instance would both drain one, and the pool
 * would fall below its need until the next purchase. A turn is much longer than the assumed clock
 * skew.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerState } from '../state.js';

export function isOwnTurn(state: ControllerState, pool: Pool): boolean {
  const dataCentres = [...pool.dataCentres].sort();
  const turnIndex = Math.floor(state.wallNow / state.policy.turnDuration) % dataCentres.length;
  return dataCentres[turnIndex] === state.dataCentre;
}
