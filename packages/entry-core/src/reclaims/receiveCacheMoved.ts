/**
 * Handles the answer to a cache move and plans the next one from the same backend server
 * immediately, so that its link is not idle during the notice.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { migrateStreams } from './migrateStreams.js';
import { finishCacheMove, type CacheMovedEvent } from './moveCache.js';

export function receiveCacheMoved(state: EntryState, event: CacheMovedEvent): EntryEffect[] {
  const from = state.reclaims.moves.get(event.requestId)?.from;
  const finished = finishCacheMove(state, event);
  return from === undefined ? finished : [...finished, ...migrateStreams(state, from, event)];
}
