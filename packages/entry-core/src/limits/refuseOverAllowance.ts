/** The allowance of a workspace as admission asks for it. */
import type { Allowance, Milliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { routeIndexOf } from '../routing/routeIndexOf.js';

/** A bucket that fills slowly is looked at again after this long by callers that came too early. */
const LONGEST_RETRY_MILLISECONDS: Milliseconds = 10_000;

function allowanceOf(state: EntryState, workspace: string): Allowance | undefined {
  const allowance = routeIndexOf(state).workspace(workspace)?.allowance;
  return allowance === undefined || allowance.perSecond <= 0 ? undefined : allowance;
}

function amountOf({ request }: RequestState, { unit, plainTokens }: Allowance): number {
  return unit === 'tokens' ? (request.countedTokens ?? plainTokens) : 1;
}

/** When to come back if the request is beyond its workspace's allowance, else undefined. */
export function retryAfterAllowance(
  state: EntryState,
  accepted: RequestState,
): Milliseconds | undefined {
  const { workspace } = accepted.request;
  const allowance = allowanceOf(state, workspace);
  if (allowance === undefined) return undefined;
  const amount = amountOf(accepted, allowance);
  const asked = state.limits.allowances.ask(workspace, allowance, amount, state.clocks.now);
  if (asked.type === 'allowed') return undefined;
  return Math.min(asked.retryAfterMilliseconds, LONGEST_RETRY_MILLISECONDS);
}

export function spendAllowance(state: EntryState, accepted: RequestState): void {
  const { workspace } = accepted.request;
  const allowance = allowanceOf(state, workspace);
  if (allowance === undefined) return;
  const amount = amountOf(accepted, allowance);
  state.limits.allowances.spend(workspace, amount, state.clocks.now);
}
