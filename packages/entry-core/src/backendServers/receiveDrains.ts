/**
 * Records the backend servers that a data centre's controller has taken out of service; each
 * message replaces the previous list of that data centre. Listed servers get no new work, and their
 * requests in progress continue. A message with an earlier lease epoch is ignored: otherwise a
 * controller that has lost its lease without noticing could put a server back into service while
 * its successor is about to stop that server.
 */
import type { DrainedInstances } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function receiveDrains(state: EntryState, drains: DrainedInstances): void {
  const previous = state.drains.get(drains.dataCentre);
  if (previous !== undefined && previous.epoch > drains.epoch) return;
  state.drains.set(drains.dataCentre, drains);
}
