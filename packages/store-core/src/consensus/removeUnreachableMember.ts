/**
 * Removes members that stay unreachable. Each of them would continue to count for the size of a
 * quorum: after several replacements of stores a quorum would need nearly all that remain, and the
 * next loss would leave the cluster without a leader for good. A member that was only partitioned
 * keeps its disk and its identity and can join again.
 */
import type { Member } from './consensusTypes.js';
import type { LeaderState } from './ConsensusState.js';
import { updatePeersAndBroadcastAppends } from './appends.js';
import { appendNewEntry } from './memoryLog.js';
import {
  computeMembershipAfterChange,
  currentMembership,
  mayChangeMembership,
  votersOf,
} from './membership.js';
import type { StepContext } from './StepContext.js';

/**
 * A removal never leaves fewer than three voters: two need the same quorum as three, but tolerate
 * no failure.
 */
const MIN_REACHABLE_VOTERS = 3;

function millisecondsSinceResponse(
  { state, now }: StepContext,
  leader: LeaderState,
  identity: string,
): number {
  if (identity === state.self.identity) return 0;
  const progress = leader.progress[identity];
  return progress === undefined ? 0 : now - progress.lastResponseAt;
}

/**
 * True if enough voters are reachable to remove an unreachable one. The unreachable voter may
 * merely be partitioned, so the remaining ones must by themselves tolerate as many lost disks as
 * before.
 */
function hasEnoughReachableVoters(context: StepContext, leader: LeaderState): boolean {
  const { state } = context;
  const { electionTimeout, leastVoters } = state.settings;
  const reachableVoters = votersOf(state).filter(
    ({ identity }) => millisecondsSinceResponse(context, leader, identity) <= electionTimeout,
  );
  return reachableVoters.length >= Math.max(leastVoters, MIN_REACHABLE_VOTERS);
}

function findUnreachableMember(context: StepContext, leader: LeaderState): Member | undefined {
  const { state } = context;
  const { unreachableMemberTimeout } = state.settings;
  const canRemoveVoter = hasEnoughReachableVoters(context, leader);
  return currentMembership(state).members.find(
    ({ identity, role }) =>
      (role === 'learner' || canRemoveVoter) &&
      millisecondsSinceResponse(context, leader, identity) > unreachableMemberTimeout,
  );
}

/**
 * Appends the removal of one member that has been unreachable for too long. The next removal has to
 * wait until this one is committed.
 */
export function removeUnreachableMember(context: StepContext, leader: LeaderState): void {
  const { state, wallNow, effects } = context;
  if (state.settings.unreachableMemberTimeout === 0 || !mayChangeMembership(state, leader)) return;
  const unreachableMember = findUnreachableMember(context, leader);
  if (unreachableMember === undefined) return;
  const { identity, address } = unreachableMember;
  const membership = computeMembershipAfterChange(state, { type: 'removeMember', identity });
  if (membership === undefined) return;
  const silence = millisecondsSinceResponse(context, leader, identity);
  effects.push({ type: 'silentMemberRemoved', instance: address.instance, silence });
  appendNewEntry(state, { type: 'membership', membership }, wallNow);
  updatePeersAndBroadcastAppends(context, leader);
}
