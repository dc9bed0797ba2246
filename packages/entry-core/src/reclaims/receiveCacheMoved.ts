/**
 * Completes a cache move and immediately starts the next one from the same backend server, so that
 * its link does not stay idle during the notice.
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
