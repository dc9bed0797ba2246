/**
 * Copies and names of a voter's state, made for speed: the explorer makes one of each per step.
 * Names leave out clocks, timers and the generator: the model lets a timer fire at any moment, so
 * they change nothing of what can happen next.
 */
import type { ConsensusState, RoleState } from '../ConsensusState.js';
import type { PersistEffect } from '../consensusEvents.js';
import type { Envelope, LogEntry, Membership, SnapshotHeader } from '../consensusTypes.js';

export function makeMembershipKey(membership: Membership): string {
  return membership.members.map((member) => `${member.identity}/${member.role}`).join(',');
}

export function makeEntryKey({ term, body }: LogEntry): string {
  if (body.type === 'command') return `${term}:${String(body.command)}`;
  if (body.type === 'noOperation') return `${term}:noOperation`;
  return `${term}:${makeMembershipKey(body.membership)}`;
}

function nameEntries(entries: readonly LogEntry[]): string {
  return entries.map((entry) => `${entry.index}=${makeEntryKey(entry)}`).join('|');
}

function nameHeader(header: SnapshotHeader | undefined): string {
  return header === undefined ? '-' : `${header.index}.${header.term}`;
}

/** The members of a message in fixed order, without the times in its entries. */
export function makeEnvelopeKey({ from, to, message }: Envelope): string {
  const who = `${from.identity}.${from.run.count}>${to}`;
  if (message.type === 'appendRequest') {
    const { term, previousIndex, previousTerm, entries, commitIndex, round } = message;
    const numbers = [term, previousIndex, previousTerm, commitIndex, round].join('.');
    return `${who} append ${numbers} ${nameEntries(entries)}`;
  }
  if (message.type === 'snapshotRequest') {
    const { term, round, offset, header } = message;
    return `${who} snapshot ${term} ${round} ${offset} ${nameHeader(header)}`;
  }
  return `${who} ${JSON.stringify(message)}`;
}

export function makeBatchKey(effect: PersistEffect): string {
  const { batch, vote, snapshot, truncateFrom, entries } = effect;
  const head = [batch, vote?.term, vote?.votedFor, truncateFrom].join('.');
  return `${head} ${nameHeader(snapshot?.header)} ${nameEntries(entries)}`;
}

function nameRole(role: RoleState): string {
  if (role.type === 'follower') return `follower ${role.leader}`;
  if (role.type === 'candidate') return `candidate ${role.preVote} ${role.votes.join()}`;
  const peers = Object.entries(role.progress).map(([identity, progress]) => {
    const {
      matchIndex,
      nextIndex,
      mode,
      inFlight,
      round,
      run,
      diskRefused: refused,
      acknowledgedSnapshotBytes: snapshotBytes,
    } = progress;
    const numbers = [matchIndex, nextIndex, round, run?.count, snapshotBytes];
    return [identity, mode, inFlight.join(), refused, ...numbers];
  });
  return `leader ${role.round} ${role.termStartIndex} ${peers.join(';')} ${JSON.stringify(role.reads)}`;
}

export function makeStateKey(state: ConsensusState): string {
  const numbers = [
    state.self.identity,
    state.self.run.count,
    state.term,
    state.votedFor,
    state.commitIndex,
    state.durableIndex,
    state.lastBatch,
    state.syncedBatch,
    state.snapshotInProgress,
    state.readOnly,
    state.diskRefused,
    state.log.base.index,
    state.incomingSnapshot?.index,
    state.incomingSnapshot?.receivedBytes,
  ];
  const held = state.pendingMessages.map(
    ({ batch, envelope }) => `${batch} ${makeEnvelopeKey(envelope)}`,
  );
  const unsynced = state.unsyncedBatches.map(({ batch, lastIndex }) => `${batch}.${lastIndex}`);
  const requests = state.pendingRequests.map(({ index, requestId }) => `${index}.${requestId}`);
  const log = nameEntries(state.log.entries);
  const parts = [numbers.join(), nameRole(state.role), log, nameHeader(state.snapshot)];
  return [...parts, held.join('|'), unsynced.join(), requests.join()].join('/');
}

function copyRole(role: RoleState): RoleState {
  if (role.type === 'follower') return { ...role };
  if (role.type === 'candidate')
    return { ...role, votes: [...role.votes], rejections: [...role.rejections] };
  const progress = Object.fromEntries(
    Object.entries(role.progress).map(([identity, item]) => [
      identity,
      { ...item, inFlight: [...item.inFlight] },
    ]),
  );
  return { ...role, progress, reads: role.reads.map((item) => ({ ...item })) };
}

export function copyState(state: ConsensusState): ConsensusState {
  return {
    ...state,
    role: copyRole(state.role),
    log: { base: { ...state.log.base }, entries: [...state.log.entries] },
    memberships: [...state.memberships],
    pendingRequests: [...state.pendingRequests],
    dirty: { ...state.dirty },
    unsyncedBatches: state.unsyncedBatches.map((write) => ({ ...write })),
    pendingMessages: [...state.pendingMessages],
    incomingSnapshot: state.incomingSnapshot && {
      ...state.incomingSnapshot,
      parts: [...state.incomingSnapshot.parts],
    },
  };
}
