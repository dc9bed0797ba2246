/**
 * Returns the index of the current configuration, and rebuilds it after the configuration changed.
 */
import type { EntryState } from '../EntryState.js';
import { RouteIndex } from './RouteIndex.js';

export function getRouteIndex(state: EntryState): RouteIndex {
  if (state.routeIndex.configuration !== state.configuration) {
    state.routeIndex = new RouteIndex(state.configuration);
  }
  return state.routeIndex;
}
