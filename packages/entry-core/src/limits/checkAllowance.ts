/** Checks and charges the allowance of a workspace during admission. */
import type { Allowance, Milliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { getRouteIndex } from '../routing/getRouteIndex.js';
import type { SpendingFacts } from './allowanceDecision.js';

/** Upper bound of the retry delay, also if enough spending expires only later. */
const MAX_ALLOWANCE_RETRY_AFTER_MILLISECONDS: Milliseconds = 10_000;

/** The allowance to enforce; undefined without one, or if its rate is 0, which means unlimited. */
function enforcedAllowanceOf(state: EntryState, workspace: string): Allowance | undefined {
  const allowance = getRouteIndex(state).workspace(workspace)?.allowance;
  return allowance === undefined || allowance.perSecond <= 0 ? undefined : allowance;
}

function amountOf({ request }: RequestState, { unit, plainTokens }: Allowance): number {
  return unit === 'tokens' ? (request.countedTokens ?? plainTokens) : 1;
}

/** Why a request exceeds its workspace's allowance, and when to retry. */
export interface AllowanceExceeded {
  readonly retryAfterMilliseconds: Milliseconds;
  readonly facts: SpendingFacts;
  /** True if the request may run once a store has acknowledged what was spent before. */
  readonly awaitsAcknowledgement: boolean;
}

/** Returns undefined if the request is within its workspace's allowance. */
export function checkAllowance(
  state: EntryState,
  candidate: RequestState,
): AllowanceExceeded | undefined {
  const { workspace } = candidate.request;
  const allowance = enforcedAllowanceOf(state, workspace);
  if (allowance === undefined) return undefined;
  const amount = amountOf(candidate, allowance);
  const decision = state.limits.allowanceLimiter.check(
    workspace,
    allowance,
    amount,
    state.clocks.now,
  );
  if (decision.type === 'allowed') return undefined;
  const { facts, awaitsAcknowledgement } = decision;
  const retryAfterMilliseconds = Math.min(
    decision.retryAfterMilliseconds,
    MAX_ALLOWANCE_RETRY_AFTER_MILLISECONDS,
  );
  return { retryAfterMilliseconds, facts, awaitsAcknowledgement };
}

/** The report of a workspace's spending to the other entries. */
function reportSpending(state: EntryState, workspace: string): EntryEffect {
  const { instance, incarnation } = state.identity;
  const { allowanceLimiter } = state.limits;
  const spent = allowanceLimiter.reportTotal(workspace);
  const times = allowanceLimiter.reportTimes(state.clocks.now, workspace);
  const leaving = state.shutdown.started;
  return {
    type: 'tellSpending',
    spending: { type: 'spendingReport', instance, incarnation, spent, leaving, ...times },
  };
}

/** Reports what has not been reported yet, so that a store can acknowledge it. */
export function reportUnreportedSpending(state: EntryState, workspace: string): EntryEffect[] {
  const isReported = !state.limits.allowanceLimiter.hasUnreportedSpending(workspace);
  return isReported ? [] : [reportSpending(state, workspace)];
}

/**
 * Charges an admitted request to its workspace's allowance. Returns a report to the other entries
 * if too much spending is unreported.
 */
export function spendAllowance(state: EntryState, accepted: RequestState): EntryEffect[] {
  const { workspace } = accepted.request;
  const allowance = enforcedAllowanceOf(state, workspace);
  if (allowance === undefined) return [];
  const { allowanceLimiter } = state.limits;
  const amount = amountOf(accepted, allowance);
  if (!allowanceLimiter.spendAndCheckReportDue(workspace, allowance, amount, state.clocks.now))
    return [];
  return [reportSpending(state, workspace)];
}
