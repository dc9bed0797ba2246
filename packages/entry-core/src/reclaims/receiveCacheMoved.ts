/**
 * The link of a backend server on notice is free again: its next stream follows at once, for what
 * does not fit before the end has to be computed again elsewhere.
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
