/**
 * Elections. A pre-vote finds out whether an election could be won before the term is raised, so
 * that a voter that returns from a partition does not unseat a leader that still reaches a quorum.
 * A vote is granted once per term, only for a log at least as up to date as the voter's, and is
 * sent once it is on disk. The winner becomes leader and appends an entry of its own term.
 */
import type { Sender, VoteRequest, VoteResponse } from './consensusTypes.js';
import { lastIndexOf, lastTermOf, appendNewEntry } from './memoryLog.js';
import { hasQuorum, isVoter, otherMembers, quorumSize, votersOf } from './membership.js';
import { sendToVotersWhenPersisted, sendWhenPersisted } from './persistence.js';
import { broadcastAppends, makeProgress } from './appends.js';
import { announceRole, becomeFollower, enterTerm, resetElectionTimer } from './roles.js';
import type { ConsensusState } from './ConsensusState.js';
import type { StepContext } from './StepContext.js';

function canCampaign(state: ConsensusState): boolean {
  return !state.readOnly && !state.diskRefused && isVoter(state, state.self.identity);
}

function requestVotes(context: StepContext, preVote: boolean, term: number): void {
  const { state } = context;
  sendToVotersWhenPersisted(context, {
    type: 'voteRequest',
    preVote,
    term,
    lastIndex: lastIndexOf(state),
    lastTerm: lastTermOf(state),
  });
}

/** Reports that the previous pre-vote or election gave no leader, with the answer of each voter. */
function reportFailedElection({ state, effects }: StepContext): void {
  const { role, term } = state;
  if (role.type !== 'candidate') return;
  const { preVote, votes, rejections } = role;
  const answered = [...votes, ...rejections];
  const instancesWhere = (matches: (identity: string) => boolean) =>
    votersOf(state)
      .filter(({ identity }) => matches(identity))
      .map(({ address }) => address.instance);
  effects.push({
    type: 'electionFailed',
    preVote,
    term,
    quorum: quorumSize(state),
    granted: instancesWhere((identity) => votes.includes(identity)),
    refused: instancesWhere((identity) => rejections.includes(identity)),
    silent: instancesWhere((identity) => !answered.includes(identity)),
  });
}

/** Called when the election timer has expired. */
export function startPreVote(context: StepContext): void {
  const { state } = context;
  resetElectionTimer(context);
  if (!canCampaign(state)) {
    // The leader hint is cleared; otherwise it would name an unreachable leader indefinitely.
    becomeFollower(context, state.term);
    return;
  }
  reportFailedElection(context);
  state.role = { type: 'candidate', preVote: true, votes: [state.self.identity], rejections: [] };
  announceRole(context);
  requestVotes(context, true, state.term + 1);
  countVotes(context);
}

function startElection(context: StepContext): void {
  const { state } = context;
  resetElectionTimer(context);
  enterTerm(state, state.term + 1);
  state.votedFor = state.self.identity;
  state.role = { type: 'candidate', preVote: false, votes: [], rejections: [] };
  announceRole(context);
  requestVotes(context, false, state.term);
}

/** Counts this store's own vote once it is on disk. */
export function countOwnVote(context: StepContext): void {
  const { state } = context;
  const { role, self } = state;
  if (role.type !== 'candidate' || role.preVote || role.votes.includes(self.identity)) return;
  if (state.syncedBatch < state.lastBatch) return;
  role.votes.push(self.identity);
  countVotes(context);
}

function countVotes(context: StepContext): void {
  const { role } = context.state;
  if (role.type !== 'candidate') return;
  if (!hasQuorum(context.state, (identity) => role.votes.includes(identity))) return;
  if (role.preVote) startElection(context);
  else becomeLeader(context);
}

export function becomeLeader(context: StepContext): void {
  const { state, now, wallNow } = context;
  const progress = Object.fromEntries(
    otherMembers(state).map(({ identity }) => [identity, makeProgress(state, now)]),
  );
  state.pendingRequests = [];
  state.role = {
    type: 'leader',
    progress,
    round: 0,
    reads: [],
    termStartIndex: lastIndexOf(state) + 1,
    nextHeartbeatAt: now + state.settings.heartbeatInterval,
  };
  // Entries of earlier terms can't be committed by counting copies; committing this entry commits
  // them too. Until then the leader doesn't know the commit index, so reads also wait for it.
  appendNewEntry(state, { type: 'noOperation' }, wallNow);
  announceRole(context);
  broadcastAppends(context, state.role, true);
}

/**
 * True while a leader may be alive: this store leads, has received from a leader within the
 * election timeout, or has just started and may have received from one before it stopped.
 */
function mustWithholdVote({ state, now }: StepContext): boolean {
  return state.role.type === 'leader' || now < state.voteAfter;
}

function isLogUpToDate(state: ConsensusState, request: VoteRequest): boolean {
  if (!state.settings.safeguards.voteForNewerLog) return true;
  const lastTerm = lastTermOf(state);
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndexOf(state);
}

function canVoteFor(state: ConsensusState, candidate: string): boolean {
  if (!state.settings.safeguards.oneVotePerTerm) return true;
  return state.votedFor === undefined || state.votedFor === candidate;
}

export function receiveVoteRequest(context: StepContext, from: Sender, request: VoteRequest): void {
  const { state } = context;
  if (state.readOnly || state.diskRefused) return;
  const { preVote, term } = request;
  const respond = (granted: boolean) => {
    const response: VoteResponse = {
      type: 'voteResponse',
      preVote,
      term: granted ? term : state.term,
      granted,
    };
    sendWhenPersisted(context, from, response);
  };
  if (mustWithholdVote(context)) {
    respond(false);
    return;
  }
  if (preVote) {
    respond(term > state.term && isLogUpToDate(state, request));
    return;
  }
  if (term > state.term) becomeFollower(context, term);
  const granted =
    term === state.term && canVoteFor(state, from.identity) && isLogUpToDate(state, request);
  if (granted) {
    state.dirty.vote ||= state.votedFor !== from.identity;
    state.votedFor = from.identity;
    resetElectionTimer(context);
  }
  respond(granted);
}

export function receiveVoteResponse(
  context: StepContext,
  from: Sender,
  response: VoteResponse,
): void {
  const { state } = context;
  if (!response.granted && response.term > state.term) {
    becomeFollower(context, response.term);
    return;
  }
  const { role } = state;
  if (role.type !== 'candidate' || role.preVote !== response.preVote) return;
  if (!response.granted) {
    if (!role.rejections.includes(from.identity)) role.rejections.push(from.identity);
    return;
  }
  const expectedTerm = role.preVote ? state.term + 1 : state.term;
  if (response.term !== expectedTerm || role.votes.includes(from.identity)) return;
  role.votes.push(from.identity);
  countVotes(context);
}
