/**
 * Persist before send. All changes of one event go to the disk as one batch; votes and
 * acknowledgements that depend on a batch wait until the store process reports it synced. Otherwise
 * a store could vote twice in a term after a crash, or lack an entry that it acknowledged.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { ConsensusMessage, Envelope } from './consensusTypes.js';
import type { PersistEffect } from './consensusEvents.js';
import { entriesFrom, lastIndexOf } from './memoryLog.js';
import { otherMembers } from './membership.js';
import type { StepContext } from './StepContext.js';

export function makeEnvelope(
  context: StepContext,
  to: string,
  message: ConsensusMessage,
): Envelope {
  const { settings, self } = context.state;
  return { cluster: settings.cluster, from: self, to, message };
}

export interface Recipient {
  readonly instance: string;
  readonly identity: string;
}

/** Sends immediately. Only for messages that claim nothing about what is on this disk. */
export function sendNow(context: StepContext, to: Recipient, message: ConsensusMessage): void {
  const envelope = makeEnvelope(context, to.identity, message);
  context.effects.push({ type: 'send', instance: to.instance, envelope });
}

/** Sends once all changes made so far are on disk. */
export function sendWhenPersisted(
  context: StepContext,
  to: Recipient,
  message: ConsensusMessage,
): void {
  const { state } = context;
  const batch = hasUnpersistedChanges(context) ? state.lastBatch + 1 : state.lastBatch;
  if (batch <= state.syncedBatch) {
    sendNow(context, to, message);
    return;
  }
  const envelope = makeEnvelope(context, to.identity, message);
  state.pendingMessages.push({ batch, instance: to.instance, envelope });
}

function listOtherVoters({ state }: StepContext): Recipient[] {
  return otherMembers(state)
    .filter(({ role }) => role === 'voter')
    .map(({ identity, address }) => ({ instance: address.instance, identity }));
}

export function sendToVotersNow(context: StepContext, message: ConsensusMessage): void {
  listOtherVoters(context).forEach((voter) => sendNow(context, voter, message));
}

export function sendToVotersWhenPersisted(context: StepContext, message: ConsensusMessage): void {
  listOtherVoters(context).forEach((voter) => sendWhenPersisted(context, voter, message));
}

/** How long a write takes at present: recent ones, or one that is still under way. */
export function currentWriteDuration({ state, now }: StepContext): Milliseconds {
  const writtenAt = state.unsyncedBatches[0]?.writtenAt ?? now;
  return Math.max(state.writeDuration, now - writtenAt);
}

/** True while the disk still writes changes that were made before. */
export function isWriting({ state }: StepContext): boolean {
  return state.syncedBatch < state.lastBatch;
}

function hasUnpersistedChanges({ state }: StepContext): boolean {
  const { vote, truncateFrom, firstNewIndex, snapshot } = state.dirty;
  return (
    vote || truncateFrom !== undefined || firstNewIndex !== undefined || snapshot !== undefined
  );
}

/** Emits all changes since the last call as one batch for the disk. */
export function flushChanges(context: StepContext): void {
  if (!hasUnpersistedChanges(context)) return;
  const { state, now, effects } = context;
  const { vote, truncateFrom, firstNewIndex, snapshot } = state.dirty;
  state.lastBatch += 1;
  const entries =
    firstNewIndex === undefined
      ? []
      : entriesFrom(state, firstNewIndex, lastIndexOf(state) - firstNewIndex + 1);
  const effect: PersistEffect = {
    type: 'persist',
    batch: state.lastBatch,
    ...(vote ? { vote: { term: state.term, votedFor: state.votedFor } } : {}),
    ...(snapshot === undefined ? {} : { snapshot }),
    ...(truncateFrom === undefined ? {} : { truncateFrom }),
    entries,
  };
  effects.push(effect);
  state.unsyncedBatches.push({
    batch: state.lastBatch,
    lastIndex: lastIndexOf(state),
    writtenAt: now,
  });
  state.dirty = { vote: false };
}

/**
 * Records that all batches up to `batch` are synced, and sends the messages that waited for them.
 */
export function completeBatches(context: StepContext, batch: number): void {
  const { state, now, effects } = context;
  if (state.readOnly) return;
  state.syncedBatch = Math.max(state.syncedBatch, Math.min(batch, state.lastBatch));
  state.unsyncedBatches
    .filter((write) => write.batch <= batch)
    .forEach((write) => {
      state.durableIndex = Math.max(state.durableIndex, write.lastIndex);
      state.writeDuration = Math.max(state.writeDuration / 2, now - write.writtenAt);
    });
  state.unsyncedBatches = state.unsyncedBatches.filter((write) => write.batch > batch);
  const sendable = state.pendingMessages.filter((message) => message.batch <= batch);
  state.pendingMessages = state.pendingMessages.filter((message) => message.batch > batch);
  sendable.forEach(({ instance, envelope }) => {
    effects.push({ type: 'send', instance, envelope });
  });
}
