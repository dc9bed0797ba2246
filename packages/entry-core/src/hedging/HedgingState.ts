/** What an entry has measured of the durations of answers, by route. */
import { RouteDurations } from './RouteDurations.js';

export interface HedgingState {
  readonly durationsByRoute: Map<string, RouteDurations>;
  /** Time after the first token for each token that the request allows. */
  readonly tokenDurationsByRoute: Map<string, RouteDurations>;
}

export function makeHedgingState(): HedgingState {
  return { durationsByRoute: new Map(), tokenDurationsByRoute: new Map() };
}

function getOrCreate(durations: Map<string, RouteDurations>, route: string): RouteDurations {
  const existing = durations.get(route);
  if (existing !== undefined) return existing;
  const created = new RouteDurations();
  durations.set(route, created);
  return created;
}

export function getRouteDurations({ durationsByRoute }: HedgingState, route: string) {
  return getOrCreate(durationsByRoute, route);
}

export function getTokenDurations({ tokenDurationsByRoute }: HedgingState, route: string) {
  return getOrCreate(tokenDurationsByRoute, route);
}
