/** The entry's reducer: applies one event to the state and returns the resulting effects. */
import { assertNever, type Configuration, type Milliseconds } from '@hornbeampond/schema';
import { advanceEntry } from './advanceEntry.js';
import { admitAfterAcknowledgement } from './admission/admitAfterAcknowledgement.js';
import { admitRequest } from './admission/admitRequest.js';
import { admitAfterConfiguration } from './admission/admitAfterConfiguration.js';
import { admitAfterList, admitAfterOrigin } from './admission/admitAfterOrigin.js';
import { reduceAttempts } from './attempts/reduceAttempts.js';
import { findAffectedIds, reduceAdmission } from './admission/reduceAdmission.js';
import { receiveLoadReport } from './backendServers/estimateInProgress.js';
import { applyInstanceList, refreshConcurrencyLimits } from './backendServers/applyInstanceList.js';
import { observeAttempt, observeAttemptStarts } from './backendServers/observeAttempt.js';
import { receiveCacheEvents } from './backendServers/receiveCacheEvents.js';
import { findClaimOfEndedAttempt, updateClaims } from './claims/updateClaims.js';
import { receiveWorkReport } from './backendServers/shareWork.js';
import { receiveDrains } from './backendServers/receiveDrains.js';
import type { EntryEffect } from './entryEffects.js';
import type { EntryEvent, Timestamps } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { receiveSpendingReport } from './limits/updateLimitersFromReport.js';
import { receiveEntryDigest } from './membership/receiveEntryDigest.js';
import { restorePersistedState } from './membership/restorePersistedState.js';
import { receivePeerReport } from './membership/receivePeerReport.js';
import { reportSoon } from './membership/advanceReports.js';
import { receivePathChange } from './paths/receivePathChange.js';
import { receiveProbeAnswer } from './quarantine/classifyLoss.js';
import { observeBeginnings } from './quarantine/parts/observeBeginnings.js';
import { receiveQuarantine } from './quarantine/quarantineDigest.js';
import { recordListedReclaimNotices, recordReclaimNotice } from './reclaims/recordReclaimNotice.js';
import { receiveCacheMoved } from './reclaims/receiveCacheMoved.js';
import { handleCallerDisconnect } from './requests/handleCallerDisconnect.js';
import { updateVersions } from './rollouts/updateVersions.js';
import { startShutdown } from './shutdown/advanceShutdown.js';
import { receiveStatement } from './statements/receiveStatement.js';
import { shareAllOrigins } from './streamVersions/shareOrigins.js';

export function reduceEntry(state: EntryState, event: EntryEvent): EntryEffect[] {
  state.clocks = { now: event.now, wallNow: event.wallNow };
  const affected = findAffectedIds(state, event);
  const observed = observeAttempt(state, event);
  observeBeginnings(state, event);
  const endedClaim = findClaimOfEndedAttempt(state, event);
  const effects = [...observed, ...dispatchEvent(state, event)];
  effects.push(...reduceAdmission(state, event, affected));
  effects.push(...updateClaims(state, event, endedClaim, effects));
  observeAttemptStarts(state, effects, event.now);
  return effects;
}

function receiveConfiguration(
  state: EntryState,
  configuration: Configuration,
  age: Milliseconds | undefined,
  timestamps: Timestamps,
): EntryEffect[] {
  const { revision } = configuration;
  if (revision <= state.configuration.revision) return [];
  // Entries that start together do not know each other's spending until the first report.
  if (state.configuration.revision === 0) reportSoon(state);
  state.configuration = configuration;
  updateVersions(state);
  refreshConcurrencyLimits(state);
  return [
    { type: 'configurationApplied', revision },
    { type: 'setGauge', metric: 'configurationRevision', value: revision },
    { type: 'log', event: 'configurationApplied', fields: { revision, age } },
    ...admitAfterConfiguration(state, timestamps),
  ];
}

function receiveInstanceList(
  state: EntryState,
  event: Extract<EntryEvent, { type: 'instancesListed' }>,
): EntryEffect[] {
  const { instances, readAt } = event;
  applyInstanceList(state, instances, readAt);
  const effects = recordListedReclaimNotices(state, instances, event);
  return readAt === undefined
    ? effects
    : [...effects, ...admitAfterList(state, readAt, true, event)];
}

function dispatchEvent(state: EntryState, event: EntryEvent): EntryEffect[] {
  switch (event.type) {
    case 'configurationReceived':
      return receiveConfiguration(state, event.configuration, event.age, event);
    case 'instancesListed':
      return receiveInstanceList(state, event);
    case 'instancesUnread':
      return admitAfterList(state, event.readAt, false, event);
    case 'reclaimNoticed':
      return recordReclaimNotice(state, event.instance, event.goneAt, event);
    case 'loadReported':
      receiveLoadReport(state, event.report, event.now, event.wallNow);
      return [];
    case 'serverStated':
      return receiveStatement(state, event);
    case 'serverPathChanged':
      return receivePathChange(state, event);
    case 'tunnelsAccepted':
      state.paths.tunnelAddress = event.address;
      return [];
    case 'drainsReceived':
      receiveDrains(state, event.drains);
      return [];
    case 'cacheEventsReceived':
      receiveCacheEvents(state, event.events, event.now);
      return [];
    case 'requestArrived':
      return admitRequest(state, event.request, event, { arrivedAt: event.arrivedAt });
    case 'streamOriginAnswered':
      return admitAfterOrigin(state, event);
    case 'originStoresChanged':
      return shareAllOrigins(state, event.now);
    case 'callerGone':
      return handleCallerDisconnect(state, event.requestId);
    case 'attemptSent':
    case 'firstTokenReceived':
    case 'attemptProgressed':
    case 'attemptHeld':
    case 'hedgeDue':
    case 'answerClaimed':
    case 'attemptFinished':
    case 'attemptFailed':
      return reduceAttempts(state, event);
    case 'cacheMoved':
      return receiveCacheMoved(state, event);
    case 'probeAnswered':
      return receiveProbeAnswer(state, event.instance, event, event);
    case 'quarantineReceived':
      return receiveQuarantine(state, event.quarantine, event);
    case 'entryReported':
      return receivePeerReport(state, event.report, event);
    case 'knowledgeRemembered':
      restorePersistedState(state, event.remembered, event.askedAt ?? event.now, event);
      return [];
    case 'workReported':
      receiveWorkReport(state, event.work, event.now);
      return [];
    case 'spendingReported':
      receiveSpendingReport(state, event.spending, event.now);
      return [];
    case 'entryDigestReceived':
      return receiveEntryDigest(state, event.digest, event.isWhole, event);
    case 'spendingAcknowledged':
      state.limits.allowanceLimiter.acknowledge(event.spent);
      return admitAfterAcknowledgement(state, event.spent, event);
    case 'shutdownStarted':
      return startShutdown(state, event);
    case 'tick':
      return advanceEntry(state, event);
    case 'claimAnswered':
      return [];
    default:
      return assertNever(event);
  }
}
