/** Records for which parts of prompts an answer has got past its beginning. */
import type { EntryEvent } from '../../entryEvents.js';
import type { EntryState } from '../../EntryState.js';
import { isPastBeginning } from './beginning.js';

/** Must be called before the event is handled, while its attempt still exists. */
export function observeBeginnings(state: EntryState, event: EntryEvent): void {
  if (event.type !== 'attemptProgressed' && event.type !== 'attemptFinished') return;
  const attempt = state.attempts.get(event.attemptId);
  if (attempt === undefined || attempt.hasShownParts === true) return;
  if (event.type === 'attemptProgressed' && !isPastBeginning(attempt, event.now)) return;
  attempt.hasShownParts = true;
  const { sharedParts = [] } = state.requests.get(attempt.requestId)?.request ?? {};
  const server = state.backendServers.get(attempt.instance);
  if (sharedParts.length === 0 || server === undefined) return;
  const begunAt = event.wallNow - (event.now - (attempt.firstTokenAt ?? event.now));
  state.quarantine.partEvidence.recordBegun(server.platformInstance.pool, sharedParts, begunAt);
}
