/**
 * Copies of a store's state, and keys by which the explorer identifies states and messages. Both
 * are written by hand for speed, as the explorer makes one of each per step. Keys leave out clocks,
 * timers and the random generator: the model lets a timer fire at any time, so that they do not
 * affect which steps can follow.
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

function makeEntriesKey(entries: readonly LogEntry[]): string {
  return entries.map((entry) => `${entry.index}=${makeEntryKey(entry)}`).join('|');
}

function makeHeaderKey(header: SnapshotHeader | undefined): string {
  return header === undefined ? '-' : `${header.index}.${header.term}`;
}

/** Makes the key of a message; timestamps of entries are left out. */
export function makeEnvelopeKey({ from, to, message }: Envelope): string {
  const direction = `${from.identity}.${from.run.count}>${to}`;
  if (message.type === 'appendRequest') {
    const { term, previousIndex, previousTerm, entries, commitIndex, round } = message;
    const numbers = [term, previousIndex, previousTerm, commitIndex, round].join('.');
    return `${direction} append ${numbers} ${makeEntriesKey(entries)}`;
  }
  if (message.type === 'snapshotRequest') {
    const { term, round, offset, header } = message;
    return `${direction} snapshot ${term} ${round} ${offset} ${makeHeaderKey(header)}`;
  }
  return `${direction} ${JSON.stringify(message)}`;
}

export function makeBatchKey(effect: PersistEffect): string {
  const { batch, vote, snapshot, truncateFrom, entries } = effect;
  const prefix = [batch, vote?.term, vote?.votedFor, truncateFrom].join('.');
  return `${prefix} ${makeHeaderKey(snapshot?.header)} ${makeEntriesKey(entries)}`;
}

function makeRoleKey(role: RoleState): string {
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
      diskRefused,
      acknowledgedSnapshotBytes,
    } = progress;
    const numbers = [matchIndex, nextIndex, round, run?.count, acknowledgedSnapshotBytes];
    return [identity, mode, inFlight.join(), diskRefused, ...numbers];
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
  const pendingMessages = state.pendingMessages.map(
    ({ batch, envelope }) => `${batch} ${makeEnvelopeKey(envelope)}`,
  );
  const unsyncedBatches = state.unsyncedBatches.map(
    ({ batch, lastIndex }) => `${batch}.${lastIndex}`,
  );
  const pendingRequests = state.pendingRequests.map(
    ({ index, requestId }) => `${index}.${requestId}`,
  );
  const log = makeEntriesKey(state.log.entries);
  const parts = [numbers.join(), makeRoleKey(state.role), log, makeHeaderKey(state.snapshot)];
  return [...parts, pendingMessages.join('|'), unsyncedBatches.join(), pendingRequests.join()].join(
    '/',
  );
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
    log: {
      base: { ...state.log.base },
      entries: [...state.log.entries],
      byteOffsets: [...state.log.byteOffsets],
    },
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
