/**
 * Handles that this entry has lost its path to a backend server, or has it back. What failed on a lost
 * path says nothing about the server: its failures are forgotten, and a server that was taken for crashed
 * is probed at once, through the entry that reaches it.
 */
import { forgetFailures } from '../backendServers/ejectOutliers.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryEvent } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';

export type PathChangedEvent = Extract<EntryEvent, { type: 'serverPathChanged' }>;

function forgetWhatWasSeen(state: EntryState, backendServer: string): void {
  const down = state.quarantine.down.get(backendServer);
  if (down !== undefined) down.probeDueAt = state.clocks.now;
  const server = state.backendServers.get(backendServer);
  if (server === undefined) return;
  forgetFailures(getPoolState(state, server.platformInstance.pool), server);
}

export function receivePathChange(state: EntryState, event: PathChangedEvent): EntryEffect[] {
  const { backendServer, isLost, relay } = event;
  const { lost } = state.paths;
  if (lost.has(backendServer) === isLost) return [];
  if (isLost) lost.add(backendServer);
  else lost.delete(backendServer);
  if (isLost) forgetWhatWasSeen(state, backendServer);
  reportSoon(state);
  const counts = { lost: lost.size, servers: state.backendServers.size };
  return [
    {
      type: 'log',
      event: isLost ? 'serverPathLost' : 'serverPathRestored',
      fields: { backendServer, ...(relay === undefined ? {} : { relay }), ...counts },
    },
    { type: 'setGauge', metric: 'lostServerPaths', value: lost.size },
  ];
}
