/**
 * Looks at everything that waits for time to pass. Deadlines go first, so that nothing is started
 * for a request that is out of time; what was lost is judged before work is placed anew.
 */
import { expireAwaitingConfiguration } from './admission/awaitConfiguration.js';
import { advanceRetries } from './attempts/advanceRetries.js';
import type { EntryEffect } from './entryEffects.js';
import type { Timestamps } from './entryEvents.js';
import type { EntryState } from './EntryState.js';
import { advanceWorkReports } from './backendServers/shareWork.js';
import { updatePeerLiveness } from './membership/livePeers.js';
import { advanceReports } from './membership/advanceReports.js';
import { advanceSuspects } from './quarantine/advanceSuspects.js';
import { advanceLosses } from './quarantine/classifyLoss.js';
import { probeStalledServers } from './quarantine/probeStalledServers.js';
import { advanceCacheMoves } from './reclaims/moveCache.js';
import { advanceReclaims } from './reclaims/recordReclaimNotice.js';
import { enforceDeadlines } from './requests/enforceDeadlines.js';
import { advanceShutdown } from './shutdown/advanceShutdown.js';

export function advanceEntry(state: EntryState, timed: Timestamps): EntryEffect[] {
  state.membership.wallOffset = timed.wallNow - timed.now;
  updatePeerLiveness(state, timed.now);
  advanceSuspects(state, timed.now);
  return [
    ...enforceDeadlines(state, timed.now),
    ...expireAwaitingConfiguration(state, timed.now),
    ...advanceLosses(state, timed),
    ...probeStalledServers(state, timed.now),
    ...advanceCacheMoves(state, timed),
    ...advanceReclaims(state, timed),
    ...advanceRetries(state, timed.now),
    ...advanceReports(state, timed),
    ...advanceWorkReports(state, timed.now),
    ...advanceShutdown(state, timed),
  ];
}
