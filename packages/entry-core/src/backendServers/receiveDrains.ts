/**
 * Takes in which backend servers a data centre's controller has taken out of service. They get no
 * new work; what runs there runs on.
 *
 * Only the word of the newest epoch counts: a controller that lost its lease without knowing could
 * otherwise give a server back that its successor is about to end.
 */
import type { FleetDrains } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function receiveDrains(state: EntryState, drains: FleetDrains): void {
  const known = state.drains.get(drains.dataCentre);
  if (known !== undefined && known.epoch > drains.epoch) return;
  state.drains.set(drains.dataCentre, drains);
}
