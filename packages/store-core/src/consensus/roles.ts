/**
 * Role handling that several modules share: the current role and leader, the election timer,
 * entering a term, stepping down, and replies to requests.
 */
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

/** The role that is reported to operators: a store that neither leads nor votes is a learner. */
export function describeRole(
  state: ConsensusState,
): 'leader' | 'follower' | 'candidate' | 'learner' {
  if (state.role.type === 'leader') return 'leader';
  return isVoter(state, state.self.identity) ? state.role.type : 'learner';
}

/**
 * True if the last applied entry is of the current term; everything committed in earlier terms is
 * then applied as well. A store that has just started can't know how much of its log is committed.
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
 * Sets the election timer to a random delay between `minDelay` and its double, so that repeated
 * split votes are unlikely.
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
  state.supportsCandidateUntil = 0;
  state.dirty.vote = true;
}

/**
 * Answers all pending requests when leadership is lost. The next leader may still commit a logged
 * entry, so its proposer gets `unsure`; a read had no effect and gets `notLeader`.
 */
function replyLeadershipLost(context: StepContext, leader: LeaderState): void {
  const { state } = context;
  state.pendingRequests.forEach(({ requestId }) => reply(context, requestId, { type: 'unsure' }));
  state.pendingRequests = [];
  leader.reads.forEach(({ requestId }) => reply(context, requestId, { type: 'notLeader' }));
}

/**
 * Follows `leader`, if known. A newer term is entered, and a former leader answers its pending
 * requests.
 */
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
