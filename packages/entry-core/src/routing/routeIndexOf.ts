/** The index of the configuration in force, built anew when another one has been taken in. */
import type { EntryState } from '../EntryState.js';
import { RouteIndex } from './RouteIndex.js';

export function routeIndexOf(state: EntryState): RouteIndex {
  if (state.routeIndex.configuration !== state.configuration) {
    state.routeIndex = new RouteIndex(state.configuration);
  }
  return state.routeIndex;
}
