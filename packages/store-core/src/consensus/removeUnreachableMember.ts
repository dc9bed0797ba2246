/**
 * Members that are gone for good leave the log by themselves. Each of them would go on to count for
 * the size of a quorum: after a few exchanges of stores a quorum would need nearly all that are left,
 * and after the next loss there would never be a leader again. A member that is wrongly taken for
 * gone keeps its disk and its identity, and is let in again as soon as it asks.
 */
import type { Member } from './consensusTypes.js';
import type { LeaderState } from './ConsensusState.js';
import { updateReplicationTargets } from './appends.js';
import { appendNewEntry } from './memoryLog.js';
import {
  applyMembershipChange,
  currentMembership,
  mayChangeMembership,
  votersOf,
} from './membership.js';
import type { StepContext } from './StepContext.js';

/** A quorum is two of three as well as two of two, so the third of three is worth keeping. */
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
 * True if the deployment's bounds on losses still hold without the silent voters. Those that are
 * merely cut off come back, and changes must outlive as many lost disks meanwhile as at other times.
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

/** Removes one member that has been silent for too long; the next one once that is committed. */
export function removeUnreachableMember(context: StepContext, leader: LeaderState): void {
  const { state, wallNow, effects } = context;
  if (state.settings.unreachableMemberTimeout === 0 || !mayChangeMembership(state, leader)) return;
  const unreachableMember = findUnreachableMember(context, leader);
  if (unreachableMember === undefined) return;
  const { identity, address } = unreachableMember;
  const membership = applyMembershipChange(state, { type: 'removeMember', identity });
  if (membership === undefined) return;
  const silence = millisecondsSinceResponse(context, leader, identity);
  effects.push({ type: 'silentMemberRemoved', instance: address.instance, silence });
  appendNewEntry(state, { type: 'membership', membership }, wallNow);
  updateReplicationTargets(context, leader);
}
