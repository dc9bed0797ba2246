/** Requests to change the log: commands and membership changes. Only a leader accepts them. */
import type { MembershipChange, Proposal, UnavailableReason } from './consensusEvents.js';
import type { ConsensusState } from './ConsensusState.js';
import { appendNewEntry, bytesAfter, lastIndexOf } from './memoryLog.js';
import { computeMembershipAfterChange, mayChangeMembership } from './membership.js';
import { broadcastAppends, updatePeersAndBroadcastAppends } from './appends.js';
import { leaderHint, leaderOf, reply } from './roles.js';
import type { StepContext } from './StepContext.js';

function refuseAsNonLeader(context: StepContext, requestId: string): void {
  const { state } = context;
  if (state.readOnly) reply(context, requestId, { type: 'unavailable', reason: 'diskFull' });
  else reply(context, requestId, { type: 'notLeader', leader: leaderHint(state) });
}

/** True if too many entries await their commit, or take too much room until the next snapshot. */
function isBacklogged(state: ConsensusState): boolean {
  const { maxUncommittedEntries, maxLogBytes } = state.settings;
  return (
    lastIndexOf(state) - state.commitIndex >= maxUncommittedEntries ||
    bytesAfter(state, state.snapshot.index) >= maxLogBytes
  );
}

export function propose(context: StepContext, proposals: readonly Proposal[]): void {
  const { state, wallNow } = context;
  const leader = leaderOf(state);
  proposals.forEach(({ requestId, command }) => {
    if (leader === undefined) {
      refuseAsNonLeader(context, requestId);
      return;
    }
    if (isBacklogged(state)) {
      reply(context, requestId, { type: 'unavailable', reason: 'logBacklog' });
      return;
    }
    const { index } = appendNewEntry(state, { type: 'command', command }, wallNow);
    state.pendingRequests.push({ index, requestId });
  });
  if (leader !== undefined) broadcastAppends(context, leader, false);
}

export function changeMembership(
  context: StepContext,
  requestId: string,
  change: MembershipChange,
): void {
  const { state, wallNow } = context;
  const leader = leaderOf(state);
  if (leader === undefined) {
    refuseAsNonLeader(context, requestId);
    return;
  }
  const refuse = (reason: UnavailableReason) => {
    reply(context, requestId, { type: 'unavailable', reason });
  };
  if (!mayChangeMembership(state, leader)) {
    refuse('changeInProgress');
    return;
  }
  const membership = computeMembershipAfterChange(state, change);
  if (membership === undefined) {
    refuse('changeNotPossible');
    return;
  }
  const { index } = appendNewEntry(state, { type: 'membership', membership }, wallNow);
  state.pendingRequests.push({ index, requestId });
  updatePeersAndBroadcastAppends(context, leader);
}
