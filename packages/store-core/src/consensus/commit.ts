/** Moves the commit index on, hands committed entries to the state machine, answers proposers. */
import type { SnapshotHeader } from './consensusTypes.js';
import { entryAt } from './memoryLog.js';
import { membershipAt } from './membership.js';
import { reply } from './roles.js';
import type { StepContext } from './StepContext.js';

/** Answers the proposer of an entry right after it was applied, while its result is at hand. */
function answerRequest(context: StepContext, index: number): void {
  const { state } = context;
  const [first] = state.requests;
  if (first?.index !== index) return;
  state.requests.shift();
  reply(context, first.requestId, { type: 'committed', index });
}

function applyEntries(context: StepContext): void {
  const { state, effects } = context;
  while (state.appliedIndex < state.commitIndex) {
    const index = state.appliedIndex + 1;
    const entry = entryAt(state, index);
    if (entry === undefined) throw new Error(`The committed entry at index ${index} is missing`);
    effects.push({ type: 'apply', index, entry });
    state.appliedIndex = index;
    answerRequest(context, index);
    if (entry.body.type === 'membership') {
      effects.push({ type: 'membershipChanged', membership: entry.body.membership });
    }
  }
}

/**
 * Asks for a snapshot when enough was applied, so that the log stays bounded. It is asked for
 * after the changes of the same event went to the disk: a snapshot that got there first could be
 * joined, after a crash, to entries which those changes were about to drop.
 */
export function askForSnapshot({ state, effects }: StepContext): void {
  if (state.snapshotAsked || state.readOnly) return;
  if (state.appliedIndex - state.snapshot.index < state.settings.entriesPerSnapshot) return;
  const entry = entryAt(state, state.appliedIndex);
  if (entry === undefined) return;
  const header: SnapshotHeader = {
    index: entry.index,
    term: entry.term,
    at: entry.at,
    membership: membershipAt(state, entry.index),
  };
  state.snapshotAsked = true;
  effects.push({ type: 'takeSnapshot', header });
}

export function commitThrough(context: StepContext, index: number): void {
  const { state } = context;
  if (index <= state.commitIndex) return;
  state.commitIndex = index;
  applyEntries(context);
}
