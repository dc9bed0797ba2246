/**
 * Elections. A pre-vote finds out whether an election could be won before the term is raised, so
 * that a voter that returns from a partition does not unseat a leader that still reaches a quorum.
 * A vote is granted once per term, only for a log at least as up to date as the voter's, and is
 * sent once it is on disk. The winner becomes leader and appends an entry of its own term.
 *
 * An election takes two writes, one at the candidate and one at the voters. If that is longer than the
 * election timeout, elections that are begun anew at each timeout never end. So an election goes on
 * while its voters answer: a candidate repeats its request, and a voter whose vote is not on its disk
 * yet says that it is there, does not campaign itself and does not help others to.
 */
import type { Sender, VoteRequest, VoteResponse } from './consensusTypes.js';
import { lastIndexOf, lastTermOf, appendNewEntry } from './memoryLog.js';
import { hasQuorum, isVoter, otherMembers, quorumSize, votersOf } from './membership.js';
import {
  currentWriteDuration,
  isWriting,
  sendNow,
  sendToVotersNow,
  sendToVotersWhenPersisted,
  sendWhenPersisted,
} from './persistence.js';
import { broadcastAppends, makeProgress } from './appends.js';
import { announceRole, becomeFollower, enterTerm, resetElectionTimer } from './roles.js';
import type { ConsensusState, RoleState } from './ConsensusState.js';
import type { StepContext } from './StepContext.js';

/**
 * For how many election timeouts an election may be extended. A candidate whose disk hangs keeps the
 * others from electing one of themselves for no longer than this.
 */
const MAX_EXTENSION_ELECTION_TIMEOUTS = 10;

/** Slower disks take longer for the two writes of an election than the shortest election timer. */
const SLOW_WRITE_FRACTION_OF_ELECTION_TIMEOUT = 0.5;

type CandidateState = Extract<RoleState, { type: 'candidate' }>;

function canCampaign(state: ConsensusState): boolean {
  return !state.readOnly && !state.diskRefused && isVoter(state, state.self.identity);
}

function makeVoteRequest(state: ConsensusState, preVote: boolean, term: number): VoteRequest {
  const lastIndex = lastIndexOf(state);
  return { type: 'voteRequest', preVote, term, lastIndex, lastTerm: lastTermOf(state) };
}

/** A pre-vote changes no term and binds nobody, so it does not wait for the disk. */
function requestPreVotes(context: StepContext, term: number): void {
  sendToVotersNow(context, makeVoteRequest(context.state, true, term));
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
  const { state, now } = context;
  if (isWriting(context) && canCampaign(state)) {
    // Its vote would wait for these writes, and another store may have a faster disk.
    if (state.role.type === 'follower') becomeFollower(context, state.term);
    state.electionDueAt = now + state.settings.heartbeatInterval;
    return;
  }
  resetElectionTimer(context);
  if (!canCampaign(state)) {
    // The leader hint is cleared; otherwise it would name an unreachable leader indefinitely.
    becomeFollower(context, state.term);
    return;
  }
  reportFailedElection(context);
  state.role = {
    type: 'candidate',
    preVote: true,
    votes: [state.self.identity],
    rejections: [],
    nextRequestAt: Number.MAX_SAFE_INTEGER,
    extensibleUntil: now,
  };
  announceRole(context);
  requestPreVotes(context, state.term + 1);
  countVotes(context);
}

function startElection(context: StepContext): void {
  const { state, now } = context;
  const { electionTimeout, heartbeatInterval } = state.settings;
  resetElectionTimer(context);
  enterTerm(state, state.term + 1);
  state.votedFor = state.self.identity;
  state.role = {
    type: 'candidate',
    preVote: false,
    votes: [],
    rejections: [],
    nextRequestAt: now + heartbeatInterval,
    extensibleUntil: now + MAX_EXTENSION_ELECTION_TIMEOUTS * electionTimeout,
  };
  announceRole(context);
  sendToVotersWhenPersisted(context, makeVoteRequest(state, false, state.term));
}

/**
 * A store with a slow disk lets another one's election run; one with a faster disk may be elected before
 * a candidate whose disk hangs has written its own vote.
 */
function isDiskSlow(context: StepContext): boolean {
  const { electionTimeout } = context.state.settings;
  return currentWriteDuration(context) > electionTimeout * SLOW_WRITE_FRACTION_OF_ELECTION_TIMEOUT;
}

/**
 * A voter that refuses has voted for another store or has a newer log. Where disks are fast, a new election
 * is then worth more than a vote that may be waiting for a disk that hangs.
 */
function mayBeExtended(context: StepContext, role: CandidateState): boolean {
  const { state, now } = context;
  const { rejections, extensibleUntil } = role;
  const canStillWin = hasQuorum(state, (identity) => !rejections.includes(identity));
  const isWorthWaiting = rejections.length === 0 || isDiskSlow(context);
  return now < extensibleUntil && canStillWin && isWorthWaiting;
}

/**
 * Called when the request of an election may be due again. Until the candidate's own vote is on its
 * disk, it repeats the pre-vote instead, which only keeps the voters from campaigning.
 */
export function repeatVoteRequest(context: StepContext): void {
  const { state, now } = context;
  const { role } = state;
  if (role.type !== 'candidate' || now < role.nextRequestAt) return;
  if (!mayBeExtended(context, role)) {
    role.nextRequestAt = Number.MAX_SAFE_INTEGER;
    return;
  }
  role.nextRequestAt = now + state.settings.heartbeatInterval;
  if (isWriting(context)) requestPreVotes(context, state.term);
  else sendToVotersNow(context, makeVoteRequest(state, false, state.term));
}

/** Lets an election go on whose voters answer, so that slow disks do not end it. */
function extendElection(context: StepContext, role: CandidateState): void {
  if (mayBeExtended(context, role)) resetElectionTimer(context);
}

/** Counts this store's own vote once it is on disk. */
export function countOwnVote(context: StepContext): void {
  const { state } = context;
  const { role, self } = state;
  if (role.type !== 'candidate' || role.preVote || role.votes.includes(self.identity)) return;
  if (isWriting(context)) return;
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

/** True while the candidate that this store voted for is collecting votes, and `candidate` is another. */
function supportsOther({ state, now }: StepContext, candidate: string): boolean {
  return now < state.supportsCandidateUntil && state.votedFor !== candidate;
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
  const isWithheld = mustWithholdVote(context) || supportsOther(context, from.identity);
  if (preVote) {
    const granted = !isWithheld && term > state.term && isLogUpToDate(state, request);
    if (granted && isDiskSlow(context)) resetElectionTimer(context);
    sendNow(context, from, makeVoteResponse(state, request, granted));
    return;
  }
  if (!isWithheld && term > state.term) becomeFollower(context, term);
  const granted =
    !isWithheld &&
    term === state.term &&
    canVoteFor(state, from.identity) &&
    isLogUpToDate(state, request);
  if (granted) grantVote(context, from, request);
  else sendWhenPersisted(context, from, makeVoteResponse(state, request, false));
}

function makeVoteResponse(
  state: ConsensusState,
  { preVote, term }: VoteRequest,
  granted: boolean,
): VoteResponse {
  return { type: 'voteResponse', preVote, term: granted ? term : state.term, granted };
}

/** True if a vote for the candidate is to be sent once it is on disk. */
function isVotePending(state: ConsensusState, candidate: string): boolean {
  return state.pendingMessages.some(
    ({ envelope: { to, message } }) =>
      to === candidate &&
      message.type === 'voteResponse' &&
      message.granted &&
      message.term === state.term,
  );
}

/** Also called for the requests that a candidate repeats, as its vote may still be on its way to the disk. */
function grantVote(context: StepContext, from: Sender, request: VoteRequest): void {
  const { state, now } = context;
  state.dirty.vote ||= state.votedFor !== from.identity;
  state.votedFor = from.identity;
  state.supportsCandidateUntil = now + state.settings.electionTimeout;
  resetElectionTimer(context);
  const response = makeVoteResponse(state, request, true);
  if (!isVotePending(state, from.identity)) sendWhenPersisted(context, from, response);
  else sendNow(context, from, { ...response, granted: false, isContactOnly: true });
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
  if (role.type !== 'candidate') return;
  // A pre-vote for the term of an election is a repeated one, granted.
  const isContact = response.isContactOnly === true || (response.preVote && response.granted);
  if (!role.preVote && isContact && response.term === state.term) {
    extendElection(context, role);
    return;
  }
  if (role.preVote !== response.preVote || response.isContactOnly === true) return;
  if (!response.granted) {
    if (!role.rejections.includes(from.identity)) role.rejections.push(from.identity);
    return;
  }
  const expectedTerm = role.preVote ? state.term + 1 : state.term;
  if (response.term !== expectedTerm || role.votes.includes(from.identity)) return;
  role.votes.push(from.identity);
  if (!role.preVote) extendElection(context, role);
  countVotes(context);
}
