/**
 * Records which backend servers a data centre's controller has taken out of service. They get no
 * new work; their requests in progress continue.
 *
 * Messages of an earlier epoch are ignored: a controller that has lost its lease without noticing
 * could otherwise return a server to service that its successor is about to stop.
 */
import type { FleetDrains } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function receiveDrains(state: EntryState, drains: FleetDrains): void {
  const known = state.drains.get(drains.dataCentre);
  if (known !== undefined && known.epoch > drains.epoch) return;
  state.drains.set(drains.dataCentre, drains);
}
