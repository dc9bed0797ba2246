/**
 * Snapshots bound the log and bring a laggard up in one step. The reducer names only headers; the
 * shell saves, loads and sends the data.
 */
import type { Member, Sender, SnapshotHeader, SnapshotRequest } from './consensusTypes.js';
import type { LeaderState, Progress } from './ConsensusState.js';
import { commitThrough } from './commit.js';
import { compactLog, termAt } from './memoryLog.js';
import { makeEnvelope } from './persistence.js';
import { respondToAppend } from './following.js';
import type { StepContext } from './StepContext.js';

/** Election timeouts after which a snapshot that wasn't acknowledged is sent again. */
const RESEND_AFTER_TIMEOUTS = 4;

const NO_DATA = new Uint8Array(0);

/** Asks the shell to send the newest snapshot, unless that was asked for a short time ago. */
export function sendSnapshot(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  progress: Progress,
): void {
  const { state, now, effects } = context;
  const patience = RESEND_AFTER_TIMEOUTS * state.settings.electionTimeout;
  if (progress.mode === 'snapshot' && now - progress.snapshotSentAt < patience) return;
  progress.mode = 'snapshot';
  progress.inFlight = [];
  progress.snapshotSentAt = now;
  const header = state.snapshot;
  const envelope = makeEnvelope(context, member.identity, {
    type: 'snapshotRequest',
    term: state.term,
    header,
    data: NO_DATA,
    round: leader.round,
  });
  effects.push({ type: 'sendSnapshot', instance: member.address.instance, header, envelope });
}

/** Takes note of a snapshot that is on disk, and lets go of the log below it. */
export function acceptCompacted({ state, effects }: StepContext, header: SnapshotHeader): void {
  state.snapshotAsked = false;
  if (header.index <= state.snapshot.index) return;
  state.snapshot = header;
  const baseIndex = Math.max(state.log.base.index, header.index - state.settings.trailingEntries);
  compactLog(state, baseIndex);
  const newestBelow = state.memberships.findLast((item) => item.index <= baseIndex);
  state.memberships = state.memberships.filter(
    (item) => item.index > baseIndex || item === newestBelow,
  );
  effects.push({ type: 'discardLog', throughIndex: header.index });
}

function installSnapshot(context: StepContext, { header, data }: SnapshotRequest): void {
  const { state, effects } = context;
  state.log = {
    base: { index: header.index, term: header.term, at: header.at },
    entries: [],
  };
  state.memberships = [{ index: header.index, membership: header.membership }];
  state.snapshot = header;
  state.commitIndex = header.index;
  state.appliedIndex = header.index;
  state.durableIndex = Math.min(state.durableIndex, header.index);
  state.unsynced.forEach((write) => {
    write.lastIndex = Math.min(write.lastIndex, header.index);
  });
  state.dirty = { vote: state.dirty.vote, snapshot: { header, data } };
  effects.push({ type: 'restore', header, data });
  effects.push({ type: 'membershipChanged', membership: header.membership });
}

export function receiveSnapshot(
  context: StepContext,
  from: Sender,
  request: SnapshotRequest,
): void {
  const { state } = context;
  const { header } = request;
  // Entries that we hold and that agree are kept: some behind the snapshot may be acknowledged,
  // and dropping them would take back a copy that the leader has counted.
  if (termAt(state, header.index) === header.term) commitThrough(context, header.index);
  else if (header.index > state.commitIndex) installSnapshot(context, request);
  respondToAppend(context, from, request.round, {
    type: 'accepted',
    matchIndex: Math.max(header.index, state.commitIndex),
  });
}
