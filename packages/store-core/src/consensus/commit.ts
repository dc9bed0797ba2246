/** Moves the commit index on, hands committed entries to the state machine, answers proposers. */
import { entryAt } from './memoryLog.js';
import { reply } from './roles.js';
import type { StepContext } from './StepContext.js';

/** Answers the proposer of an entry right after it was applied, while its result is at hand. */
function replyToProposer(context: StepContext, index: number): void {
  const { state } = context;
  const [oldestRequest] = state.pendingRequests;
  if (oldestRequest?.index !== index) return;
  state.pendingRequests.shift();
  reply(context, oldestRequest.requestId, { type: 'committed', index });
}

function applyEntries(context: StepContext): void {
  const { state, effects } = context;
  while (state.appliedIndex < state.commitIndex) {
    const index = state.appliedIndex + 1;
    const entry = entryAt(state, index);
    if (entry === undefined) throw new Error(`The committed entry at index ${index} is missing`);
    effects.push({ type: 'apply', index, entry });
    state.appliedIndex = index;
    replyToProposer(context, index);
    if (entry.body.type === 'membership') {
      effects.push({ type: 'membershipChanged', membership: entry.body.membership });
    }
  }
}

export function commitThrough(context: StepContext, index: number): void {
  const { state } = context;
  if (index <= state.commitIndex) return;
  state.commitIndex = index;
  applyEntries(context);
}
