/**
 * Appends from the leader to its peers, pipelined up to `maxAppendsInFlight`. A peer that needs a
 * compacted entry is sent a snapshot instead.
 */
import type { Member } from './consensusTypes.js';
import type { ConsensusState, LeaderState, Progress } from './ConsensusState.js';
import { limitEntriesToBytes } from './estimateEntryBytes.js';
import { entriesFrom, lastIndexOf, termAt } from './memoryLog.js';
import { otherMembers } from './membership.js';
import { sendNow } from './persistence.js';
import { sendSnapshot } from './snapshots.js';
import type { StepContext } from './StepContext.js';

export function makeProgress(state: ConsensusState, now: number): Progress {
  return {
    matchIndex: 0,
    nextIndex: lastIndexOf(state) + 1,
    mode: 'probing',
    inFlight: [],
    round: 0,
    lastResponseAt: now,
    lastContactAt: now,
    snapshotSentAt: 0,
    snapshotIndex: 0,
    acknowledgedSnapshotBytes: 0,
    diskRefused: false,
  };
}

function sendOneAppend(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  previousIndex: number,
  previousTerm: number,
  maxEntries: number,
): number {
  const { state } = context;
  const { maxBytesPerAppend } = state.settings;
  const entries = limitEntriesToBytes(
    entriesFrom(state, previousIndex + 1, maxEntries),
    maxBytesPerAppend,
  );
  const to = { instance: member.address.instance, identity: member.identity };
  sendNow(context, to, {
    type: 'appendRequest',
    term: state.term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
    round: leader.round,
  });
  return entries.length;
}

/**
 * Sends pending entries until the limit of unanswered appends is reached, or a snapshot part if the
 * entries are compacted. If no entry was sent and `evenIfEmpty` is set, sends one empty append.
 * Sends nothing to a peer whose disk is older than what it acknowledged (`diskRefused`).
 */
export function sendAppends(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  evenIfEmpty: boolean,
): void {
  const { state } = context;
  const progress = leader.progress[member.identity];
  if (progress === undefined || progress.diskRefused) return;
  if (termAt(state, progress.nextIndex - 1) === undefined) {
    sendSnapshot(context, leader, member, progress);
    // An empty append that matches every log keeps the peer from campaigning meanwhile.
    if (evenIfEmpty) sendOneAppend(context, leader, member, 0, 0, 0);
    return;
  }
  let sent = false;
  const maxInFlight = progress.mode === 'probing' ? 1 : state.settings.maxAppendsInFlight;
  while (progress.nextIndex <= lastIndexOf(state) && progress.inFlight.length < maxInFlight) {
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = termAt(state, previousIndex) ?? 0;
    const maxEntries = state.settings.maxEntriesPerAppend;
    const entryCount = sendOneAppend(
      context,
      leader,
      member,
      previousIndex,
      previousTerm,
      maxEntries,
    );
    progress.inFlight.push(previousIndex + entryCount);
    sent = true;
    if (progress.mode === 'probing') break;
    progress.nextIndex += entryCount;
  }
  if (evenIfEmpty && !sent) {
    const previousIndex = progress.nextIndex - 1;
    sendOneAppend(context, leader, member, previousIndex, termAt(state, previousIndex) ?? 0, 0);
  }
}

export function broadcastAppends(
  context: StepContext,
  leader: LeaderState,
  evenIfEmpty: boolean,
): void {
  otherMembers(context.state).forEach((member) =>
    sendAppends(context, leader, member, evenIfEmpty),
  );
}

/**
 * Adjusts the tracked peers to a membership that has just changed, then sends appends to all of
 * them.
 */
export function updatePeersAndBroadcastAppends(context: StepContext, leader: LeaderState): void {
  const { state, now } = context;
  const members = otherMembers(state);
  const previousProgress = leader.progress;
  leader.progress = Object.fromEntries(
    members.map(({ identity }) => [
      identity,
      previousProgress[identity] ?? makeProgress(state, now),
    ]),
  );
  broadcastAppends(context, leader, true);
}
