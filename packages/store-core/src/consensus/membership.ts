/**
 * Who is a member, what a quorum is, and how the membership changes: one change at a time, each
 * through the log. A new disk joins as a learner and is made a voter once it holds everything that
 * is committed; before that it doesn't count towards a quorum.
 */
import type { Member, Membership } from './consensusTypes.js';
import type { MembershipChange } from './consensusEvents.js';
import type { ConsensusState, LeaderState } from './ConsensusState.js';

/** The membership in force: the newest in the log, committed or not. */
export function currentMembership(state: ConsensusState): Membership {
  return state.memberships.at(-1)?.membership ?? { members: [] };
}

/** The addresses of all members. */
export function memberAddresses(state: ConsensusState): Member['address'][] {
  return currentMembership(state).members.map(({ address }) => address);
}

/** The membership in force at `index`. */
export function membershipAt(state: ConsensusState, index: number): Membership {
  const found = state.memberships.findLast((item) => item.index <= index);
  return found?.membership ?? { members: [] };
}

export function votersOf(state: ConsensusState): Member[] {
  return currentMembership(state).members.filter((member) => member.role === 'voter');
}

export function memberOf(state: ConsensusState, identity: string): Member | undefined {
  return currentMembership(state).members.find((member) => member.identity === identity);
}

export function otherMembers(state: ConsensusState): Member[] {
  return currentMembership(state).members.filter(
    (member) => member.identity !== state.self.identity,
  );
}

export function isVoter(state: ConsensusState, identity: string): boolean {
  return memberOf(state, identity)?.role === 'voter';
}

export function quorumSize(state: ConsensusState): number {
  const half = Math.floor(votersOf(state).length / 2);
  return state.settings.safeguards.quorumIsMajority ? half + 1 : Math.max(1, half);
}

/** True if `isCounted` holds for a quorum of the voters. */
export function hasQuorum(
  state: ConsensusState,
  isCounted: (identity: string) => boolean,
): boolean {
  const counted = votersOf(state).filter((member) => isCounted(member.identity));
  return counted.length >= quorumSize(state);
}

function hasUncommittedChange(state: ConsensusState): boolean {
  if (!state.settings.safeguards.oneChangeAtATime) return false;
  return (state.memberships.at(-1)?.index ?? 0) > state.commitIndex;
}

/**
 * True if the leader may append a membership. Two changes at once, or a change before an entry of
 * the leader's term is committed, could allow two quorums without a common voter, and so two
 * leaders that both commit.
 */
export function mayChangeMembership(state: ConsensusState, leader: LeaderState): boolean {
  if (!state.settings.safeguards.oneChangeAtATime) return true;
  return state.commitIndex >= leader.termStartIndex && !hasUncommittedChange(state);
}

/** Computes the membership after a change, or undefined if the change is not possible now. */
export function computeMembershipAfterChange(
  state: ConsensusState,
  change: MembershipChange,
): Membership | undefined {
  const membership = currentMembership(state);
  const { members, takenOut = [] } = membership;
  if (change.type === 'addLearner') {
    const { identity, address } = change.member;
    if (takenOut.includes(identity)) return undefined;
    // An instance has one member at a time: the identity of a lost disk must be removed first, so
    // that it is never counted beside the new one.
    const alreadyMember = members.some(
      (member) => member.identity === identity || member.address.instance === address.instance,
    );
    if (alreadyMember) return undefined;
    return { ...membership, members: [...members, { ...change.member, role: 'learner' }] };
  }
  const remainingMembers = members.filter((member) => member.identity !== change.identity);
  const remainingVoters = remainingMembers.filter((member) => member.role === 'voter');
  if (remainingMembers.length === members.length || remainingVoters.length === 0) return undefined;
  if (change.type === 'removeMember') return { ...membership, members: remainingMembers };
  return { members: remainingMembers, takenOut: [...takenOut, change.identity] };
}

/** A learner that, as far as the leader knows, holds all committed entries. */
export function findPromotableLearner(
  state: ConsensusState,
  leader: LeaderState,
): Member | undefined {
  const hasCaughtUp = (member: Member) => {
    const progress = leader.progress[member.identity];
    if (progress === undefined || progress.diskRefused) return false;
    if (!state.settings.safeguards.promoteWhenCaughtUp) return true;
    return progress.mode === 'replicating' && progress.matchIndex >= state.commitIndex;
  };
  return currentMembership(state).members.find(
    (member) => member.role === 'learner' && hasCaughtUp(member),
  );
}

/** Computes the current membership with the given member as a voter. */
export function computeMembershipAfterPromotion(
  state: ConsensusState,
  identity: string,
): Membership {
  const membership = currentMembership(state);
  const members = membership.members.map((member) =>
    member.identity === identity ? { ...member, role: 'voter' as const } : member,
  );
  return { ...membership, members };
}
