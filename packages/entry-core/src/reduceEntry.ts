/**
 * The one reducer of an entry: it hands each event to the part whose concern it is.
 */
import { assertNever } from '@hornbeampond/schema';
import { admitRequest } from './admission/admitRequest.js';
import { reduceAttempts } from './attempts/reduceAttempts.js';
import { listInstances } from './backendServers/listInstances.js';
import type { EntryEffect } from './entryEffects.js';
import type { EntryEvent } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { callerGone } from './requests/callerGone.js';

export function reduceEntry(state: EntryState, event: EntryEvent): EntryEffect[] {
  switch (event.type) {
    case 'configurationReceived': {
      const { configuration } = event;
      if (configuration.revision <= state.configuration.revision) return [];
      state.configuration = configuration;
      const { revision } = configuration;
      return [
        { type: 'configurationApplied', revision },
        { type: 'setGauge', metric: 'configurationRevision', value: revision },
        { type: 'log', event: 'configurationApplied', fields: { revision } },
      ];
    }
    case 'instancesListed':
      listInstances(state, event.instances);
      return [];
    case 'reclaimNoticed': {
      const server = state.backendServers.get(event.instance);
      if (server !== undefined) server.goneAt ??= event.goneAt;
      return [];
    }
    case 'loadReported': {
      const server = state.backendServers.get(event.report.instance);
      if (server === undefined) return [];
      server.load = event.report;
      server.loadReceivedAt = event.now;
      return [];
    }
    case 'requestArrived':
      return admitRequest(state, event.request, event);
    case 'callerGone':
      return callerGone(state, event.requestId);
    case 'attemptSent':
    case 'firstTokenReceived':
    case 'attemptProgressed':
    case 'attemptFinished':
    case 'attemptFailed':
      return reduceAttempts(state, event);
    case 'shutdownStarted':
      state.shuttingDown = true;
      return state.requests.size === 0 ? [{ type: 'shutdownReady' }] : [];
    case 'tick':
      return state.shuttingDown && state.requests.size === 0 ? [{ type: 'shutdownReady' }] : [];
    case 'cacheEventsReceived':
    case 'probeAnswered':
    case 'cacheMoved':
    case 'claimAnswered':
    case 'quarantineReceived':
    case 'entryReported':
      return [];
    default:
      return assertNever(event);
  }
}
