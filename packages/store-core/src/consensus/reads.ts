/**
 * Linearizable reads. In a quorum round the leader sends an append to each peer. A read is answered
 * once a quorum has answered a round that began after the read arrived: no other leader can have
 * committed more before the read. An isolated leader gets no such answers and answers no read.
 * Reads that arrive during a round share the next one.
 */
import type { LeaderState } from './ConsensusState.js';
import { hasQuorum } from './membership.js';
import { broadcastAppends } from './appends.js';
import { leaderHint, leaderOf, reply } from './roles.js';
import type { StepContext } from './StepContext.js';

export function beginRead(context: StepContext, requestId: string): void {
  const { state } = context;
  const leader = leaderOf(state);
  if (leader === undefined) {
    reply(context, requestId, { type: 'notLeader', leader: leaderHint(state) });
    return;
  }
  if (!state.settings.safeguards.readNeedsRound) {
    reply(context, requestId, { type: 'readable', index: state.commitIndex });
    return;
  }
  leader.reads.push({ requestId, round: 0, readIndex: 0 });
  startReadRound(context, leader);
}

/** Begins a round for the waiting reads, unless one is in progress. */
export function startReadRound(context: StepContext, leader: LeaderState): void {
  const { state } = context;
  const roundInProgress = leader.reads.some((read) => read.round > 0);
  if (roundInProgress || leader.reads.length === 0) return;
  // Until an entry of its own term is committed, a new leader's commit index may lag behind writes
  // that its predecessor acknowledged.
  if (state.commitIndex < leader.termStartIndex) return;
  leader.round += 1;
  leader.reads.forEach((read) => {
    read.round = leader.round;
    read.readIndex = state.commitIndex;
  });
  broadcastAppends(context, leader, true);
  confirmReads(context, leader);
}

/** Answers the reads whose round a quorum has answered, then begins the next round. */
export function confirmReads(context: StepContext, leader: LeaderState): void {
  const { state } = context;
  if (state.role !== leader) return;
  const confirmed = leader.reads.filter(
    (read) => read.round > 0 && hasQuorumAnswered(context, leader, read.round),
  );
  if (confirmed.length === 0) return;
  leader.reads = leader.reads.filter((read) => !confirmed.includes(read));
  confirmed.forEach(({ requestId, readIndex }) => {
    reply(context, requestId, { type: 'readable', index: readIndex });
  });
  startReadRound(context, leader);
}

function hasQuorumAnswered({ state }: StepContext, leader: LeaderState, round: number): boolean {
  return hasQuorum(state, (identity) => {
    if (identity === state.self.identity) return true;
    const progress = leader.progress[identity];
    return progress !== undefined && !progress.diskRefused && progress.round >= round;
  });
}
