/** Whether a backend server may be given a request now. */
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import type { PoolBalance } from './PoolBalance.js';
import { hasPromptsEnough } from './predictFirstToken.js';
import { limitNow } from './ServerBalance.js';

export function hasRoom(
  state: EntryState,
  pool: PoolBalance,
  server: BackendServerState,
  accepted: RequestState,
): boolean {
  const room = Math.max(1, Math.floor(limitNow(server.balance, state.clocks.now)));
  if (estimateInProgress(state, server) >= room) return false;
  return !hasPromptsEnough(state, pool, server, accepted);
}
