/**
 * The follower's side of replication: recognizes the leader, stores the entries it sends, applies
 * what is committed, and acknowledges entries once they are synced.
 */
import type { AppendRequest, AppendResponse, LogEntry, Sender } from './consensusTypes.js';
import type { ConsensusState } from './ConsensusState.js';
import { commitThrough } from './commit.js';
import { appendEntry, lastIndexOf, termAt, truncateLog } from './memoryLog.js';
import { isWriting, sendNow, sendWhenPersisted } from './persistence.js';
import { becomeFollower, resetElectionTimer } from './roles.js';
import type { StepContext } from './StepContext.js';

export function respondToAppend(
  context: StepContext,
  to: Sender,
  round: number,
  result: AppendResponse['result'],
): void {
  const { state } = context;
  sendWhenPersisted(context, to, {
    type: 'appendResponse',
    term: state.term,
    round,
    lastIndex: lastIndexOf(state),
    result,
  });
}

/**
 * Tells the leader that its append has arrived, if the answer has to wait for earlier writes. Without
 * this, a leader whose peers write slowly counts them as unreachable and steps down, and each large
 * entry costs an election.
 */
function acknowledgeContact(context: StepContext, to: Sender): void {
  const { state } = context;
  if (!state.settings.acknowledgesContact || !isWriting(context)) return;
  sendNow(context, to, {
    type: 'appendResponse',
    term: state.term,
    round: 0,
    isContactOnly: true,
    lastIndex: lastIndexOf(state),
    result: { type: 'accepted', matchIndex: 0 },
  });
}

/**
 * Accepts the sender of an append or a snapshot as the leader. Returns false if the disk of this
 * store has failed or was refused, or if the sender's term is outdated; an outdated sender is sent
 * the newer term.
 */
export function followLeader(context: StepContext, from: Sender, term: number): boolean {
  const { state, now } = context;
  if (state.readOnly || state.diskRefused) return false;
  if (term < state.term) {
    respondToAppend(context, from, 0, { type: 'conflict', previousIndex: 0, conflictIndex: 0 });
    return false;
  }
  if (term === state.term && state.role.type === 'leader') {
    throw new Error(`Two leaders in term ${term}: ${state.self.instance} and ${from.instance}`);
  }
  becomeFollower(context, term, from.instance);
  resetElectionTimer(context);
  state.voteAfter = now + state.settings.electionTimeout;
  return true;
}

function locateConflict(state: ConsensusState, request: AppendRequest): AppendResponse['result'] {
  const { previousIndex } = request;
  const lastIndex = lastIndexOf(state);
  if (previousIndex > lastIndex) {
    return { type: 'conflict', previousIndex, conflictIndex: lastIndex + 1 };
  }
  const conflictTerm = termAt(state, previousIndex);
  let conflictIndex = previousIndex;
  while (
    conflictIndex - 1 > state.commitIndex &&
    termAt(state, conflictIndex - 1) === conflictTerm
  ) {
    conflictIndex -= 1;
  }
  return { type: 'conflict', previousIndex, conflictIndex, conflictTerm };
}

function mergeEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  entries.forEach((entry) => {
    if (entry.index <= state.log.base.index) return;
    const localTerm = termAt(state, entry.index);
    if (localTerm === entry.term) return;
    if (localTerm !== undefined) truncateLog(state, entry.index);
    appendEntry(state, entry);
  });
}

export function receiveAppend(context: StepContext, from: Sender, request: AppendRequest): void {
  const { state } = context;
  const { previousIndex, previousTerm, entries, round } = request;
  acknowledgeContact(context, from);
  // Committed entries are the same at every leader, so an append that starts at or below the commit
  // index needs no check.
  const matchesLog =
    previousIndex <= state.commitIndex || termAt(state, previousIndex) === previousTerm;
  if (!matchesLog) {
    respondToAppend(context, from, round, locateConflict(state, request));
    return;
  }
  mergeEntries(state, entries);
  const matchIndex = previousIndex + entries.length;
  commitThrough(context, Math.min(request.commitIndex, matchIndex));
  respondToAppend(context, from, round, { type: 'accepted', matchIndex });
}
