/** Whether a backend server may be given a request now. */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolBalance } from './PoolBalance.js';
import { hasPromptsEnough } from './predictFirstToken.js';
import { limitNow } from './ServerBalance.js';

/**
 * A server that has the prefix may go above its limit by this share: computing the prompt anew
 * elsewhere costs more than the turn or two that the request then waits inside the engine.
 */
const HOLDER_ALLOWANCE = 1.25;

export function hasRoom(
  state: EntryState,
  pool: PoolBalance,
  server: BackendServerState,
  accepted: RequestState,
  isHolder: boolean,
): boolean {
  const allowance = isHolder ? HOLDER_ALLOWANCE : 1;
  const room = Math.max(1, Math.floor(limitNow(server.balance, state.clocks.now) * allowance));
  if (estimateInProgress(state, server) >= room) return false;
  return !hasPromptsEnough(state, pool, server, accepted);
}
