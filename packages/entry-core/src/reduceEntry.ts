/**
 * The one reducer of an entry: it hands each event to the part whose concern it is.
 */
import { assertNever } from '@hornbeampond/schema';
import { advanceEntry } from './advanceEntry.js';
import { admitRequest } from './admission/admitRequest.js';
import { reduceAttempts } from './attempts/reduceAttempts.js';
import { listInstances } from './backendServers/listInstances.js';
import type { EntryEffect } from './entryEffects.js';
import type { EntryEvent } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { receiveReport } from './membership/receiveReport.js';
import { takeProbeAnswer } from './quarantine/judgeLoss.js';
import { receiveQuarantine } from './quarantine/quarantineDigest.js';
import { noticeListed, noticeReclaim } from './reclaims/noticeReclaim.js';
import { receiveCacheMoved } from './reclaims/receiveCacheMoved.js';
import { callerGone } from './requests/callerGone.js';
import { startShutdown } from './shutdown/advanceShutdown.js';

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
      return noticeListed(state, event.instances, event);
    case 'reclaimNoticed':
      return noticeReclaim(state, event.instance, event.goneAt, event);
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
    case 'cacheMoved':
      return receiveCacheMoved(state, event);
    case 'probeAnswered':
      return takeProbeAnswer(state, event.instance, event, event);
    case 'quarantineReceived':
      return receiveQuarantine(state, event.quarantine, event);
    case 'entryReported':
      return receiveReport(state, event.report, event);
    case 'shutdownStarted':
      return startShutdown(state, event);
    case 'tick':
      return advanceEntry(state, event);
    case 'cacheEventsReceived':
    case 'claimAnswered':
      return [];
    default:
      return assertNever(event);
  }
}
