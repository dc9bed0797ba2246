/**
 * The one reducer of an entry: it hands each event to the part whose concern it is.
 */
import { assertNever } from '@hornbeampond/schema';
import { admitRequest } from './admission/admitRequest.js';
import { reduceAttempts } from './attempts/reduceAttempts.js';
import { findConcerned, reduceAdmission } from './admission/reduceAdmission.js';
import { receiveLoadReport } from './backendServers/estimateInProgress.js';
import { listInstances, refreshLimits } from './backendServers/listInstances.js';
import { observeAttempt, observeStarts } from './backendServers/observeAttempt.js';
import { receiveCacheEvents } from './backendServers/receiveCacheEvents.js';
import type { EntryEffect } from './entryEffects.js';
import type { EntryEvent } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { receiveEntryReport } from './limits/receiveEntryReport.js';
import { callerGone } from './requests/callerGone.js';

export function reduceEntry(state: EntryState, event: EntryEvent): EntryEffect[] {
  state.clocks = { now: event.now, wallNow: event.wallNow };
  const concerned = findConcerned(state, event);
  const observed = observeAttempt(state, event);
  const effects = reduceConcern(state, event);
  const all = [...observed, ...effects, ...reduceAdmission(state, event, concerned)];
  observeStarts(state, all, event.now);
  return all;
}

function reduceConcern(state: EntryState, event: EntryEvent): EntryEffect[] {
  switch (event.type) {
    case 'configurationReceived': {
      const { configuration } = event;
      if (configuration.revision <= state.configuration.revision) return [];
      state.configuration = configuration;
      refreshLimits(state);
      const { revision } = configuration;
      return [
        { type: 'configurationApplied', revision },
        { type: 'setGauge', metric: 'configurationRevision', value: revision },
        { type: 'log', event: 'configurationApplied', fields: { revision } },
      ];
    }
    case 'instancesListed':
      listInstances(state, event.instances, event.now);
      return [];
    case 'reclaimNoticed': {
      const server = state.backendServers.get(event.instance);
      if (server !== undefined) server.goneAt ??= event.goneAt;
      return [];
    }
    case 'loadReported':
      receiveLoadReport(state, event.report, event.now, event.wallNow);
      return [];
    case 'cacheEventsReceived':
      receiveCacheEvents(state, event.events, event.now);
      return [];
    case 'entryReported':
      receiveEntryReport(state, event.report, event.now);
      return [];
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
    case 'probeAnswered':
    case 'cacheMoved':
    case 'claimAnswered':
    case 'quarantineReceived':
      return [];
    default:
      return assertNever(event);
  }
}
