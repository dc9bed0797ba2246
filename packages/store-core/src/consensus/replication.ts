/**
 * The leader's side of replication: handles append responses and the leader's timer, commits
 * entries, promotes learners, and steps down without a quorum or after its removal. An entry of the
 * current term is committed once a quorum of voters has it on disk. After a conflict a peer's next
 * index goes back by a whole term at a time.
 */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { AppendResponse, Sender } from './consensusTypes.js';
import type { ConsensusState, LeaderState, Progress } from './ConsensusState.js';
import { broadcastAppends, updatePeersAndBroadcastAppends, sendAppends } from './appends.js';
import { commitThrough } from './commit.js';
import { appendNewEntry, termAt } from './memoryLog.js';
import {
  hasQuorum,
  isVoter,
  findPromotableLearner,
  mayChangeMembership,
  memberOf,
  otherMembers,
  computeMembershipAfterPromotion,
  quorumSize,
  votersOf,
} from './membership.js';
import { sendNow } from './persistence.js';
import { confirmReads, startReadRound } from './reads.js';
import { becomeFollower } from './roles.js';
import { removeUnreachableMember } from './removeUnreachableMember.js';
import { handlePartResponse } from './snapshots.js';
import type { StepContext } from './StepContext.js';

function promoteCaughtUpLearner(context: StepContext, leader: LeaderState): void {
  const { state, wallNow } = context;
  if (!mayChangeMembership(state, leader)) return;
  const learner = findPromotableLearner(state, leader);
  if (learner === undefined) return;
  const membership = computeMembershipAfterPromotion(state, learner.identity);
  appendNewEntry(state, { type: 'membership', membership }, wallNow);
  updatePeersAndBroadcastAppends(context, leader);
}

/** Steps down once a committed membership no longer lists this store as a voter. */
function stepDownIfRemoved(context: StepContext): void {
  const { state } = context;
  const committed = (state.memberships.at(-1)?.index ?? 0) <= state.commitIndex;
  if (committed && !isVoter(state, state.self.identity)) becomeFollower(context, state.term);
}

function matchIndexOf(state: ConsensusState, leader: LeaderState, identity: string): number {
  if (identity === state.self.identity) return state.durableIndex;
  const progress = leader.progress[identity];
  return progress === undefined || progress.diskRefused ? 0 : progress.matchIndex;
}

/**
 * Commits what a quorum has on disk, then steps down if removed; otherwise starts waiting reads and
 * promotes a learner that has caught up.
 */
export function advanceCommit(context: StepContext, leader: LeaderState): void {
  const { state } = context;
  const matchIndexes = votersOf(state)
    .map(({ identity }) => matchIndexOf(state, leader, identity))
    .sort((a, b) => b - a);
  const index = matchIndexes[quorumSize(state) - 1] ?? 0;
  // A quorum with an entry of an earlier term is not enough: a voter with a newer last term could
  // still be elected without the entry and overwrite it.
  const isOwnTerm = termAt(state, index) === state.term;
  if (index > state.commitIndex && (isOwnTerm || !state.settings.safeguards.commitOwnTermOnly)) {
    commitThrough(context, index);
    if (state.settings.announceCommits) sendCommitIndex(context, leader);
    stepDownIfRemoved(context);
  }
  if (state.role !== leader) return;
  startReadRound(context, leader);
  promoteCaughtUpLearner(context, leader);
}

/** Sends the commit index immediately, so that peers apply entries before the next heartbeat. */
function sendCommitIndex(context: StepContext, leader: LeaderState): void {
  otherMembers(context.state)
    .filter(({ identity }) => leader.progress[identity]?.mode === 'replicating')
    .forEach((member) => sendAppends(context, leader, member, true));
}

/**
 * Refuses a response from an outdated run or from a disk that lacks entries it acknowledged.
 * Returns true if the response is refused. After a restart of the peer, appends begin again by
 * probing.
 */
function refuseUntrustedRun(
  context: StepContext,
  progress: Progress,
  from: Sender,
  lastIndex: number,
): boolean {
  const { state, effects } = context;
  if (!state.settings.safeguards.oldDiskRefused) return false;
  const knownRun = progress.run;
  if (knownRun?.count === from.run.count && knownRun.token === from.run.token)
    return progress.diskRefused;
  const refuse = (reason: 'runOutdated' | 'diskOlder') => {
    sendNow(context, from, { type: 'refusal', reason, run: from.run });
    effects.push({ type: 'messageRefused', reason, from: from.instance });
    return true;
  };
  if (knownRun !== undefined && from.run.count <= knownRun.count) return refuse('runOutdated');
  progress.run = from.run;
  progress.diskRefused = lastIndex < progress.matchIndex;
  if (progress.diskRefused) return refuse('diskOlder');
  progress.mode = 'probing';
  progress.inFlight = [];
  progress.nextIndex = Math.max(
    progress.matchIndex + 1,
    Math.min(progress.nextIndex, lastIndex + 1),
  );
  return false;
}

function advanceMatchIndex(state: ConsensusState, progress: Progress, matchIndex: number): void {
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.inFlight = progress.inFlight.filter((index) => index > progress.matchIndex);
  const wasBehind = progress.matchIndex < progress.nextIndex - 1;
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  // A peer that waits for a snapshot also accepts empty appends; that says nothing about its log.
  const isPreviousEntryInLog = termAt(state, progress.nextIndex - 1) !== undefined;
  if (progress.mode !== 'replicating' && !wasBehind && isPreviousEntryInLog) {
    progress.mode = 'replicating';
    progress.inFlight = [];
  }
}

function rewindNextIndex(
  state: ConsensusState,
  progress: Progress,
  conflict: Extract<AppendResponse['result'], { type: 'conflict' }>,
): void {
  if (conflict.previousIndex <= progress.matchIndex || progress.mode === 'snapshot') return;
  const isStale = progress.mode === 'probing' && conflict.previousIndex !== progress.nextIndex - 1;
  if (isStale) return;
  let nextIndex = conflict.conflictIndex;
  if (conflict.conflictTerm !== undefined) {
    const lastOfConflictTerm = state.log.entries.findLast(
      (entry) => entry.term === conflict.conflictTerm,
    );
    if (lastOfConflictTerm !== undefined && lastOfConflictTerm.index < conflict.previousIndex) {
      nextIndex = Math.max(nextIndex, lastOfConflictTerm.index + 1);
    }
  }
  progress.nextIndex = Math.max(
    progress.matchIndex + 1,
    Math.min(nextIndex, conflict.previousIndex),
  );
  progress.mode = 'probing';
  progress.inFlight = [];
}

/**
 * A peer that has answered this leader is counted only in the same run: a later one may have an older
 * disk. One that is still writing before its first answer has acknowledged nothing that could be
 * missing; without it, a new leader whose peers write slowly would step down at once.
 */
function recordContact(progress: Progress, { run }: Sender, now: MonotonicMilliseconds): void {
  const { run: knownRun } = progress;
  const isSameRun = knownRun?.count === run.count && knownRun.token === run.token;
  if ((knownRun === undefined || isSameRun) && !progress.diskRefused) progress.lastContactAt = now;
}

export function receiveAppendResponse(
  context: StepContext,
  from: Sender,
  response: AppendResponse,
): void {
  const { state, now } = context;
  if (response.term > state.term) {
    becomeFollower(context, response.term);
    return;
  }
  const leader = state.role;
  if (leader.type !== 'leader' || response.term !== state.term) return;
  const progress = leader.progress[from.identity];
  if (progress === undefined) return;
  if (response.isContactOnly === true) {
    recordContact(progress, from, now);
    return;
  }
  if (refuseUntrustedRun(context, progress, from, response.lastIndex)) return;
  progress.lastContactAt = now;
  progress.lastResponseAt = now;
  progress.round = Math.max(progress.round, response.round);
  const { result } = response;
  const member = memberOf(state, from.identity);
  if (result.type === 'accepted') advanceMatchIndex(state, progress, result.matchIndex);
  else if (result.type === 'conflict') rewindNextIndex(state, progress, result);
  else if (member !== undefined) handlePartResponse(context, leader, member, result);
  advanceCommit(context, leader);
  confirmReads(context, leader);
  if (state.role === leader && member !== undefined) sendAppends(context, leader, member, false);
}

/**
 * True if a quorum has responded within the election timeout, be it with its disk still at earlier
 * writes. A leader without one steps down, because its callers would wait while other stores elect a
 * new leader.
 *
 * Judged by when the timer was due. If it fires late, this process was held up, and responses that
 * have arrived since are not read yet: a leader that applies a long log after a restart would step
 * down because of its own delay.
 */
function isQuorumReachable({ state }: StepContext, leader: LeaderState): boolean {
  const { electionTimeout } = state.settings;
  const dueAt = leader.nextHeartbeatAt;
  return hasQuorum(state, (identity) => {
    if (identity === state.self.identity) return true;
    const progress = leader.progress[identity];
    return progress !== undefined && dueAt - progress.lastContactAt <= electionTimeout;
  });
}

export function handleLeaderTimer(context: StepContext, leader: LeaderState): void {
  const { state, now } = context;
  if (now < leader.nextHeartbeatAt) return;
  if (!isQuorumReachable(context, leader)) {
    becomeFollower(context, state.term);
    return;
  }
  leader.nextHeartbeatAt = now + state.settings.heartbeatInterval;
  Object.values(leader.progress).forEach((progress) => {
    // An append or its response may be lost, so a probing peer is sent its append again.
    if (progress.mode === 'probing') progress.inFlight = [];
  });
  broadcastAppends(context, leader, true);
  removeUnreachableMember(context, leader);
}
