/** Changes of role that several concerns share: stepping down, and the timers that go with it. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plusFromState } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '@hornbeampond/schema';
import type { RequestOutcome } from './consensusEvents.js';
import type { ConsensusState, LeaderState } from './ConsensusState.js';
import { isVoter } from './membership.js';
import { termAt } from './memoryLog.js';
import type { StepContext } from './StepContext.js';

export function leaderOf(state: ConsensusState): LeaderState | undefined {
  return state.role.type === 'leader' ? state.role : undefined;
}

export function leaderHint(state: ConsensusState): string | undefined {
  if (state.role.type === 'leader') return state.self.instance;
  return state.role.type === 'follower' ? state.role.leader : undefined;
}

export function reply(context: StepContext, requestId: string, outcome: RequestOutcome): void {
  context.effects.push({ type: 'reply', requestId, outcome });
}

/** What this voter is, as operators are told. */
export function describeRole(
  state: ConsensusState,
): 'leader' | 'follower' | 'candidate' | 'learner' {
  if (state.role.type === 'leader') return 'leader';
  return isVoter(state, state.self.identity) ? state.role.type : 'learner';
}

/**
 * True if an entry of the present term is known to be committed. All that was committed before is
 * then known as well; a store that has just started knows only that its own log may be.
 */
export function hasCommittedInCurrentTerm(state: ConsensusState): boolean {
  return state.appliedIndex > 0 && termAt(state, state.appliedIndex) === state.term;
}

export function announceRole(context: StepContext): void {
  const { state, effects } = context;
  effects.push({
    type: 'roleChanged',
    role: describeRole(state),
    term: state.term,
    leader: leaderHint(state),
  });
}

/**
 * Draws the next election timeout, between `least` and twice that; drawn apart, two voters seldom
 * split the votes twice.
 */
export function setElectionTimer({ state, now }: StepContext, minDelay: Milliseconds): void {
  const generator = xoroshiro128plusFromState(state.random);
  state.electionDueAt = now + minDelay + uniformInt(generator, 0, Math.ceil(minDelay));
  state.random = [...generator.getState()];
}

export function resetElectionTimer(context: StepContext): void {
  setElectionTimer(context, context.state.settings.electionTimeout);
}

export function enterTerm(state: ConsensusState, term: number): void {
  state.term = term;
  state.votedFor = undefined;
  state.dirty.vote = true;
}

/**
 * Settles what a leader still owed. An entry in the log may yet be committed by the next leader,
 * so its proposer is told `unsure`; a read has done nothing and may simply be asked elsewhere.
 */
function replyLeadershipLost(context: StepContext, leader: LeaderState): void {
  const { state } = context;
  state.pendingRequests.forEach(({ requestId }) => reply(context, requestId, { type: 'unsure' }));
  state.pendingRequests = [];
  leader.reads.forEach(({ requestId }) => reply(context, requestId, { type: 'notLeader' }));
}

export function becomeFollower(context: StepContext, term: number, leader?: string): void {
  const { state } = context;
  const previousRole = state.role;
  if (previousRole.type === 'leader') replyLeadershipLost(context, previousRole);
  const termChanged = term > state.term;
  if (termChanged) enterTerm(state, term);
  if (previousRole.type !== 'follower') resetElectionTimer(context);
  state.role = { type: 'follower', leader };
  const sameLeader = previousRole.type === 'follower' && previousRole.leader === leader;
  if (termChanged || !sameLeader) announceRole(context);
}
