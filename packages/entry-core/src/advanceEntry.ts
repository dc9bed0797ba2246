/**
 * Handles a tick: runs every check that depends on elapsed time. Deadlines are enforced first, so
 * that no attempt starts for an expired request, and losses are classified before retries start.
 */
import { expireAwaitingAcknowledgement } from './admission/admitAfterAcknowledgement.js';
import { expireAwaitingConfiguration } from './admission/awaitConfiguration.js';
import { updateShares } from './admission/updateShares.js';
import { advanceRetries } from './attempts/advanceRetries.js';
import type { EntryEffect } from './entryEffects.js';
import type { Timestamps } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { leaveSlowServers } from './backendServers/leaveSlowServers.js';
import { refreshSpeeds } from './backendServers/refreshSpeeds.js';
import { advanceWorkReports } from './backendServers/shareWork.js';
import { updatePeerReachability } from './membership/livePeers.js';
import { advanceReports } from './membership/advanceReports.js';
import { advanceSuspects } from './quarantine/advanceSuspects.js';
import { advanceLosses } from './quarantine/classifyLoss.js';
import { advancePartEvidence } from './quarantine/parts/advancePartEvidence.js';
import { decidePostponedVerdicts } from './quarantine/postponedVerdicts.js';
import { probeStalledServers } from './quarantine/probeStalledServers.js';
import { advanceCacheMoves } from './reclaims/moveCache.js';
import { advanceReclaims } from './reclaims/recordReclaimNotice.js';
import { enforceDeadlines } from './requests/enforceDeadlines.js';
import { advanceSlowness } from './slowness/advanceSlowness.js';
import { advanceShutdown } from './shutdown/advanceShutdown.js';

export function advanceEntry(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  state.membership.wallOffset = timestamps.wallNow - timestamps.now;
  updatePeerReachability(state, timestamps.now);
  advanceSuspects(state, timestamps.now);
  state.streamOrigins.expire(timestamps.now);
  return [
    ...advanceSlowness(state, timestamps),
    ...enforceDeadlines(state, timestamps.now),
    ...expireAwaitingConfiguration(state, timestamps.now),
    ...expireAwaitingAcknowledgement(state, timestamps),
    ...advanceLosses(state, timestamps),
    ...advancePartEvidence(state, timestamps),
    ...decidePostponedVerdicts(state, timestamps),
    ...leaveSlowServers(state, timestamps.now),
    ...probeStalledServers(state, timestamps.now),
    ...advanceCacheMoves(state, timestamps),
    ...advanceReclaims(state, timestamps),
    ...advanceRetries(state, timestamps.now),
    ...advanceReports(state, timestamps),
    ...refreshSpeeds(state, timestamps.now),
    ...updateShares(state, timestamps.now),
    ...advanceWorkReports(state, timestamps.now),
    ...advanceShutdown(state, timestamps),
  ];
}
