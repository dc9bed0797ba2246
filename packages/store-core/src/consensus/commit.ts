/** Advances the commit index, applies committed entries in order and answers their proposers. */
import { entryAt } from './memoryLog.js';
import { reply } from './roles.js';
import type { StepContext } from './StepContext.js';

/**
 * Answers the proposer directly after its entry is applied, while the store process still has the
 * result.
 */
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
