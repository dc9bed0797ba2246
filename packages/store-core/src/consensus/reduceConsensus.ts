/**
 * Agreement among the stores on one log: a deterministic reducer of the Raft family. This module
 * passes each event to the module that handles it, and itself handles the start, the founding of a
 * cluster, timers, disk results and refusals. Each step ends in the same way: changes go to the
 * disk as one batch, a snapshot is taken if due, and the next wake is scheduled.
 */
import type { MonotonicMilliseconds, Reducer } from '@hornbeampond/schema';
import type { ConsensusEffect, ConsensusEvent } from './consensusEvents.js';
import type { Envelope, Refusal } from './consensusTypes.js';
import type { ConsensusState } from './ConsensusState.js';
import {
  becomeLeader,
  countOwnVote,
  receiveVoteRequest,
  receiveVoteResponse,
  repeatVoteRequest,
  startPreVote,
} from './election.js';
import { followLeader, receiveAppend } from './receiveAppend.js';
import { appendNewEntry, lastIndexOf } from './memoryLog.js';
import { completeBatches, flushChanges, sendNow } from './persistence.js';
import { changeMembership, propose } from './proposals.js';
import { beginRead } from './reads.js';
import { advanceCommit, handleLeaderTimer, receiveAppendResponse } from './replication.js';
import { announceRole, becomeFollower, enterTerm, leaderOf, setElectionTimer } from './roles.js';
import { applyCompaction, takeSnapshotIfDue, receiveSnapshot } from './snapshots.js';
import type { StepContext } from './StepContext.js';

/**
 * Fraction of the election timeout during which a restarted store neither votes nor campaigns. A
 * live leader sends a message within that time. If all stores stopped together there is no leader,
 * and a longer wait would only delay the first election.
 */
const INITIAL_WAIT_FRACTION_OF_ELECTION_TIMEOUT = 0.5;

function handleStart(context: StepContext): void {
  const { state, now } = context;
  const initialWait = state.settings.electionTimeout * INITIAL_WAIT_FRACTION_OF_ELECTION_TIMEOUT;
  setElectionTimer(context, initialWait);
  // A store with an empty disk may vote immediately, as it has acknowledged nothing. Any other may
  // have received from a leader just before it stopped.
  if (state.term > 0) state.voteAfter = now + initialWait;
  announceRole(context);
}

/**
 * True if the disk holds no entry and no term, or only the term of a founding that was interrupted: the
 * vote is written before the first entry, and only a founder votes for itself without an entry.
 */
export function canFound(state: ConsensusState): boolean {
  const hasFoundersVote = state.votedFor === state.self.identity;
  return lastIndexOf(state) === 0 && (state.term === 0 || hasFoundersVote);
}

/**
 * Founds a cluster with this store as its only voter; all other members are added through the log.
 * Ignored on a disk that has been part of a cluster.
 */
function foundCluster(
  context: StepContext,
  event: Extract<ConsensusEvent, { type: 'found' }>,
): void {
  const { state, wallNow } = context;
  if (!canFound(state)) return;
  enterTerm(state, state.term + 1);
  state.votedFor = state.self.identity;
  const membership = { members: [{ ...event.member, role: 'voter' as const }] };
  appendNewEntry(state, { type: 'membership', membership }, wallNow);
  becomeLeader(context);
}

function handleTimer(context: StepContext): void {
  const { state, now } = context;
  // A timer may fire slightly early. Resetting `wakeAt` makes `scheduleWake` request a new one;
  // otherwise this store would never campaign again.
  state.wakeAt = Number.MAX_SAFE_INTEGER;
  const leader = leaderOf(state);
  if (leader !== undefined) handleLeaderTimer(context, leader);
  else if (now >= state.electionDueAt) startPreVote(context);
  else repeatVoteRequest(context);
}

function handlePersistFailure(context: StepContext): void {
  const { state } = context;
  state.readOnly = true;
  // The pending messages confirm writes that will never be on disk.
  state.pendingMessages = [];
  becomeFollower(context, state.term);
}

function receiveRefusal(context: StepContext, refusal: Refusal): void {
  const { state, effects } = context;
  const { run } = state.self;
  if (refusal.run.count !== run.count || refusal.run.token !== run.token) return;
  if (refusal.reason !== 'diskOlder' && refusal.reason !== 'runOutdated') return;
  state.diskRefused = true;
  becomeFollower(context, state.term);
  effects.push({ type: 'diskRefused', reason: refusal.reason });
}

/**
 * Returns true if the message is from this cluster and for this disk. Any other is refused, and the
 * sender of a message for another disk is sent a refusal.
 */
function verifyOrRefuse(context: StepContext, envelope: Envelope): boolean {
  const { state, effects } = context;
  const { cluster, from, to } = envelope;
  if (cluster !== state.settings.cluster) {
    effects.push({ type: 'messageRefused', reason: 'otherCluster', from: from.instance });
    return false;
  }
  if (to !== state.self.identity) {
    // Addressed to a disk that this instance no longer has.
    effects.push({ type: 'messageRefused', reason: 'otherIdentity', from: from.instance });
    if (envelope.message.type !== 'refusal') {
      sendNow(context, from, { type: 'refusal', reason: 'otherIdentity', run: from.run });
    }
    return false;
  }
  return true;
}

function receive(context: StepContext, envelope: Envelope): void {
  if (!verifyOrRefuse(context, envelope)) return;
  const { from, message } = envelope;
  switch (message.type) {
    case 'voteRequest':
      receiveVoteRequest(context, from, message);
      break;
    case 'voteResponse':
      receiveVoteResponse(context, from, message);
      break;
    case 'appendRequest':
      if (followLeader(context, from, message.term)) receiveAppend(context, from, message);
      break;
    case 'appendResponse':
      receiveAppendResponse(context, from, message);
      break;
    case 'snapshotRequest':
      if (followLeader(context, from, message.term)) receiveSnapshot(context, from, message);
      break;
    case 'refusal':
      receiveRefusal(context, message);
      break;
    default:
      message satisfies never;
  }
}

function handlePersisted(context: StepContext, batch: number): void {
  completeBatches(context, batch);
  countOwnVote(context);
  const leader = leaderOf(context.state);
  if (leader !== undefined) advanceCommit(context, leader);
}

function dispatch(context: StepContext, event: ConsensusEvent): void {
  switch (event.type) {
    case 'started':
      handleStart(context);
      break;
    case 'found':
      foundCluster(context, event);
      break;
    case 'timerFired':
      handleTimer(context);
      break;
    case 'received':
      receive(context, event.envelope);
      break;
    case 'propose':
      propose(context, event.proposals);
      break;
    case 'read':
      beginRead(context, event.requestId);
      break;
    case 'changeMembership':
      changeMembership(context, event.requestId, event.change);
      break;
    case 'persisted':
      handlePersisted(context, event.batch);
      break;
    case 'persistFailed':
      handlePersistFailure(context);
      break;
    case 'compacted':
      applyCompaction(context, event.header);
      break;
    default:
      event satisfies never;
  }
}

function findNextWake({ role, electionDueAt }: ConsensusState): MonotonicMilliseconds {
  if (role.type === 'leader') return role.nextHeartbeatAt;
  return role.type === 'candidate' ? Math.min(role.nextRequestAt, electionDueAt) : electionDueAt;
}

function scheduleWake({ state, effects }: StepContext): void {
  const at = findNextWake(state);
  if (at === state.wakeAt) return;
  state.wakeAt = at;
  effects.push({ type: 'wake', at });
}

/**
 * Handles one event.
 *
 * @throws If continuing could commit two different histories. The state may be half changed then,
 * so all later events are ignored and the process must stop.
 */
export const reduceConsensus: Reducer<ConsensusState, ConsensusEvent, ConsensusEffect> = (
  state,
  event,
) => {
  const effects: ConsensusEffect[] = [];
  if (state.halted) return effects;
  const context = { state, now: event.now, wallNow: event.wallNow, effects };
  state.halted = true;
  dispatch(context, event);
  flushChanges(context);
  takeSnapshotIfDue(context);
  scheduleWake(context);
  state.halted = false;
  return effects;
};
