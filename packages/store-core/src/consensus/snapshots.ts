/**
 * Snapshots bound the log and bring a peer that is far behind up to date. The leader sends a
 * snapshot in parts; the receiver collects them and replaces its log. The store process takes,
 * saves and loads the data; the leader's side here handles only headers and offsets.
 */
import type {
  Envelope,
  Member,
  Sender,
  SnapshotHeader,
  SnapshotRequest,
} from './consensusTypes.js';
import type { SendSnapshotEffect } from './consensusEvents.js';
import type { ConsensusState, LeaderState, Progress } from './ConsensusState.js';
import { commitThrough } from './commit.js';
import { bytesAfter, compactLog, entryAt, termAt } from './memoryLog.js';
import { membershipAt } from './membership.js';
import { makeEnvelope } from './persistence.js';
import { respondToAppend } from './receiveAppend.js';
import type { StepContext } from './StepContext.js';

/** Number of election timeouts after which an unacknowledged part is sent again. */
const RESEND_DELAY_IN_ELECTION_TIMEOUTS = 4;

const NO_DATA = new Uint8Array(0);

function isAwaitingResponse({ state, now }: StepContext, progress: Progress): boolean {
  if (progress.mode !== 'snapshot' || progress.snapshotIndex !== state.snapshot.index) return false;
  const resendDelay = RESEND_DELAY_IN_ELECTION_TIMEOUTS * state.settings.electionTimeout;
  return now - progress.snapshotSentAt < resendDelay;
}

/**
 * Asks the store process to send a part of the newest snapshot, unless an earlier part still awaits
 * its acknowledgement.
 */
export function sendSnapshot(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  progress: Progress,
): void {
  if (!isAwaitingResponse(context, progress)) sendSnapshotPart(context, leader, member, progress);
}

function sendSnapshotPart(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  progress: Progress,
): void {
  const { state, now, effects } = context;
  const header = state.snapshot;
  if (progress.snapshotIndex !== header.index) progress.acknowledgedSnapshotBytes = 0;
  progress.mode = 'snapshot';
  progress.inFlight = [];
  progress.snapshotIndex = header.index;
  progress.snapshotSentAt = now;
  const offset = progress.acknowledgedSnapshotBytes;
  const envelope = makeEnvelope(context, member.identity, {
    type: 'snapshotRequest',
    term: state.term,
    header,
    offset,
    data: NO_DATA,
    done: true,
    round: leader.round,
  });
  const maxBytes = state.settings.maxBytesPerSnapshotPart;
  const { instance } = member.address;
  effects.push({ type: 'sendSnapshot', instance, header, offset, maxBytes, envelope });
}

/**
 * Adds the requested part to the envelope. Returns undefined if a newer snapshot has been saved
 * meanwhile; the leader then begins to send that one.
 */
export function fillSnapshotPart(
  { header, offset, maxBytes, envelope }: SendSnapshotEffect,
  saved: { readonly header: SnapshotHeader; readonly data: Uint8Array },
): Envelope | undefined {
  const { message } = envelope;
  if (saved.header.index !== header.index || message.type !== 'snapshotRequest') return undefined;
  const data = saved.data.subarray(offset, offset + maxBytes);
  const done = offset + data.length >= saved.data.length;
  return { ...envelope, message: { ...message, data, done } };
}

/**
 * Sends the next part after progress. A response without progress sends nothing, or each duplicate
 * of a response would send another part.
 */
export function handlePartResponse(
  context: StepContext,
  leader: LeaderState,
  member: Member,
  part: { readonly index: number; readonly receivedBytes: number },
): void {
  const progress = leader.progress[member.identity];
  if (progress?.mode !== 'snapshot' || progress.snapshotIndex !== part.index) return;
  const hasAdvanced = part.receivedBytes > progress.acknowledgedSnapshotBytes;
  // The count is lower if the peer has restarted; the next resend begins there.
  progress.acknowledgedSnapshotBytes = part.receivedBytes;
  if (hasAdvanced) sendSnapshotPart(context, leader, member, progress);
}

/**
 * True while a reachable peer is receiving a snapshot; a new one would restart the transfer. An
 * unreachable peer doesn't count, or the log would grow until it returns.
 */
function hasSnapshotTransferInProgress({ state, now }: StepContext): boolean {
  const { role } = state;
  if (role.type !== 'leader') return false;
  return Object.values(role.progress).some(
    ({ mode, acknowledgedSnapshotBytes, lastResponseAt }) =>
      mode === 'snapshot' &&
      acknowledgedSnapshotBytes > 0 &&
      now - lastResponseAt <= state.settings.electionTimeout,
  );
}

/** Multiple of `bytesPerSnapshot` from which on a snapshot does not wait for a transfer. */
const MAX_POSTPONEMENT_FACTOR = 2;

function isSnapshotDue(context: StepContext): boolean {
  const { settings, appliedIndex, snapshot } = context.state;
  const bytes = bytesAfter(context.state, snapshot.index, appliedIndex);
  if (bytes >= MAX_POSTPONEMENT_FACTOR * settings.bytesPerSnapshot) return true;
  const hasEnough =
    appliedIndex - snapshot.index >= settings.entriesPerSnapshot ||
    bytes >= settings.bytesPerSnapshot;
  return hasEnough && !hasSnapshotTransferInProgress(context);
}

/**
 * Takes a snapshot once enough entries, or enough bytes of them, were applied, so that the log stays
 * bounded. It must come after the `persist` effect of the same event: if the snapshot reached the
 * disk first, a crash could leave it combined with entries that the event has dropped.
 */
export function takeSnapshotIfDue(context: StepContext): void {
  const { state, effects } = context;
  if (state.snapshotInProgress || state.readOnly || !isSnapshotDue(context)) return;
  const entry = entryAt(state, state.appliedIndex);
  if (entry === undefined) return;
  const header: SnapshotHeader = {
    index: entry.index,
    term: entry.term,
    at: entry.at,
    membership: membershipAt(state, entry.index),
  };
  state.snapshotInProgress = true;
  effects.push({ type: 'takeSnapshot', header });
}

/** Index of the last entry to drop below a snapshot that ends at `snapshotIndex`. */
function chooseBaseIndex(state: ConsensusState, snapshotIndex: number): number {
  const { trailingEntries, trailingBytes } = state.settings;
  let baseIndex = Math.max(state.log.base.index, snapshotIndex - trailingEntries);
  while (baseIndex < snapshotIndex && bytesAfter(state, baseIndex, snapshotIndex) > trailingBytes) {
    baseIndex += 1;
  }
  return baseIndex;
}

/**
 * Records a snapshot that is on disk, and drops the log below it except for the last entries within
 * `trailingEntries` and `trailingBytes`.
 */
export function applyCompaction({ state, effects }: StepContext, header: SnapshotHeader): void {
  state.snapshotInProgress = false;
  if (header.index <= state.snapshot.index) return;
  state.snapshot = header;
  const baseIndex = chooseBaseIndex(state, header.index);
  compactLog(state, baseIndex);
  const newestBelow = state.memberships.findLast((item) => item.index <= baseIndex);
  state.memberships = state.memberships.filter(
    (item) => item.index > baseIndex || item === newestBelow,
  );
  effects.push({ type: 'discardLog', throughIndex: header.index });
}

/** Adds a part to the incoming snapshot; returns all of the data once it is complete. */
function addPart(
  state: ConsensusState,
  from: Sender,
  { term, header, offset, data, done }: SnapshotRequest,
): Uint8Array | undefined {
  const { index } = header;
  const current = state.incomingSnapshot;
  const continuesCurrent =
    current?.sender === from.identity && current.term === term && current.index === index;
  // Parts of two leaders may not be mixed: each encodes its own state machine.
  const incoming = continuesCurrent
    ? current
    : { sender: from.identity, term, index, parts: [], receivedBytes: 0 };
  state.incomingSnapshot = incoming;
  if (offset !== incoming.receivedBytes) return undefined;
  incoming.parts.push(data);
  incoming.receivedBytes += data.length;
  return done ? joinParts(incoming.parts, incoming.receivedBytes) : undefined;
}

function joinParts(parts: readonly Uint8Array[], bytes: number): Uint8Array {
  const joined = new Uint8Array(bytes);
  let offset = 0;
  parts.forEach((part) => {
    joined.set(part, offset);
    offset += part.length;
  });
  return joined;
}

function installSnapshot(context: StepContext, header: SnapshotHeader, data: Uint8Array): void {
  const { state, effects } = context;
  state.incomingSnapshot = undefined;
  state.log = {
    base: { index: header.index, term: header.term, at: header.at },
    entries: [],
    byteOffsets: [0],
  };
  state.memberships = [{ index: header.index, membership: header.membership }];
  state.snapshot = header;
  state.commitIndex = header.index;
  state.appliedIndex = header.index;
  state.durableIndex = Math.min(state.durableIndex, header.index);
  state.unsyncedBatches.forEach((unsyncedBatch) => {
    unsyncedBatch.lastIndex = Math.min(unsyncedBatch.lastIndex, header.index);
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
  // If the log has the snapshot's last entry, all entries are kept: later ones may be acknowledged,
  // and dropping them would remove copies that the leader has counted.
  if (termAt(state, header.index) === header.term) commitThrough(context, header.index);
  else if (header.index > state.commitIndex) {
    const data = addPart(state, from, request);
    if (data === undefined) {
      const receivedBytes = state.incomingSnapshot?.receivedBytes ?? 0;
      respondToAppend(context, from, request.round, {
        type: 'partial',
        index: header.index,
        receivedBytes,
      });
      return;
    }
    installSnapshot(context, header, data);
  }
  respondToAppend(context, from, request.round, {
    type: 'accepted',
    matchIndex: Math.max(header.index, state.commitIndex),
  });
}
