/**
 * Claims of calls that may run at most once. The open claim of a workspace's key is held by one
 * attempt, and only that attempt may send the call, once.
 */
import {
  MAX_STORED_ANSWER_BYTES,
  type ClaimResult,
  type EpochMilliseconds,
  type Milliseconds,
  type OpenClaimCommand,
  type ReleaseClaimCommand,
  type SettleClaimCommand,
  type StoredAnswer,
} from '@hornbeampond/schema';
import {
  BARRED_ATTEMPT_RETENTION_MILLISECONDS,
  CLAIM_RETENTION_MILLISECONDS,
  MAX_CLAIM_EXPIRY_MILLISECONDS,
  MAX_CLAIMS,
  MAX_TOTAL_STORED_ANSWER_BYTES,
} from './constants.js';
import type { Claim, MachineState } from './MachineState.js';

/** Identifies a claim among those of all workspaces; the name of a workspace contains no space. */
export function claimName({ workspace, key }: { workspace: string; key: string }): string {
  return `${workspace} ${key}`;
}

/** Limits a duration that a client chose; a negative duration or NaN counts as 0. */
export function clampDuration(duration: Milliseconds, maxDuration: Milliseconds): Milliseconds {
  return duration > 0 ? Math.min(duration, maxDuration) : 0;
}

function isOpen(claim: Claim, at: EpochMilliseconds): boolean {
  return claim.phase === 'open' && at < claim.expiresAt;
}

/** The result of opening a claim that exists already. */
function describeExistingClaim(
  state: MachineState,
  at: EpochMilliseconds,
  claim: Claim,
  command: OpenClaimCommand,
): ClaimResult {
  if (claim.digest !== command.digest) return { type: 'claimKeyReused' };
  if (isOpen(claim, at)) {
    const isHolder = claim.attemptId === command.attemptId;
    return { type: isHolder ? 'claimOpened' : 'claimRunning' };
  }
  if (claim.phase !== 'done') return { type: 'claimUnknown' };
  const answer = state.answers.get(claimName(command));
  return answer === undefined ? { type: 'claimDone' } : { type: 'claimDone', answer };
}

export function openClaim(
  state: MachineState,
  at: EpochMilliseconds,
  command: OpenClaimCommand,
): ClaimResult {
  if (state.barredAttempts.has(command.attemptId)) return { type: 'claimBarred' };
  const name = claimName(command);
  const claim = state.claims.get(name);
  if (claim !== undefined) return describeExistingClaim(state, at, claim, command);
  if (state.claims.size >= MAX_CLAIMS) return { type: 'claimsFull' };
  const expiresAt = at + clampDuration(command.expiresAfter, MAX_CLAIM_EXPIRY_MILLISECONDS);
  state.claims.set(name, {
    digest: command.digest,
    holder: command.holder,
    attemptId: command.attemptId,
    expiresAt,
    phase: 'open',
    keptUntil: expiresAt + CLAIM_RETENTION_MILLISECONDS,
  });
  return { type: 'claimOpened' };
}

/**
 * Gives up an attempt and bars it. Its `openClaim` may still be in transit: without the bar it could
 * open the claim after the caller received `ran: no`, and the claim of an attempt that is never sent
 * would block the caller's retry.
 */
export function releaseClaim(
  state: MachineState,
  at: EpochMilliseconds,
  command: ReleaseClaimCommand,
): ClaimResult {
  const name = claimName(command);
  const claim = state.claims.get(name);
  const isHolder = claim?.attemptId === command.attemptId;
  if (isHolder && claim.phase !== 'open') return { type: 'claimNotHeld' };
  // An expired claim may have been reported `unknown` to other attempts, so it stays `unknown`.
  if (isHolder && isOpen(claim, at)) state.claims.delete(name);
  state.barredAttempts.delete(command.attemptId);
  state.barredAttempts.set(command.attemptId, at + BARRED_ATTEMPT_RETENTION_MILLISECONDS);
  return { type: 'claimReleased' };
}

function countAnswerBytes(answer: StoredAnswer): number {
  const headers = Object.entries(answer.headers);
  const headerBytes = headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
  return headerBytes + (answer.body?.byteLength ?? 0);
}

function removeAnswer(state: MachineState, name: string): void {
  const answer = state.answers.get(name);
  if (answer === undefined) return;
  state.answers.delete(name);
  state.answerBytes -= countAnswerBytes(answer);
}

/**
 * Copies the body of an answer. A decoded body is a view of the frame or snapshot that contained it,
 * and would keep all of that in memory.
 */
export function copyAnswer(answer: StoredAnswer): StoredAnswer {
  if (answer.body === undefined) return answer;
  return { ...answer, body: new Uint8Array(answer.body) };
}

/** Stores an answer for resends, within the size limits; without it the claim is still `done`. */
function storeAnswer(state: MachineState, name: string, answer: StoredAnswer | undefined): void {
  if (answer === undefined || countAnswerBytes(answer) > MAX_STORED_ANSWER_BYTES) return;
  state.answers.set(name, copyAnswer(answer));
  state.answerBytes += countAnswerBytes(answer);
  for (const oldest of state.answers.keys()) {
    if (state.answerBytes <= MAX_TOTAL_STORED_ANSWER_BYTES) return;
    removeAnswer(state, oldest);
  }
}

/**
 * Records how the call ended. The attempt that holds the claim may still report `done` after the
 * claim has expired or was settled `unknown`; a late report does not reopen the claim.
 */
export function settleClaim(
  state: MachineState,
  at: EpochMilliseconds,
  command: SettleClaimCommand,
): ClaimResult {
  const name = claimName(command);
  const claim = state.claims.get(name);
  if (claim?.attemptId !== command.attemptId) return { type: 'claimNotHeld' };
  if (claim.phase === 'done' || claim.phase === command.outcome) return { type: 'claimSettled' };
  state.claims.delete(name);
  state.claims.set(name, {
    ...claim,
    phase: command.outcome,
    keptUntil: at + CLAIM_RETENTION_MILLISECONDS,
  });
  if (command.outcome === 'done') storeAnswer(state, name, command.answer);
  return { type: 'claimSettled' };
}

/** Removes claims and barred attempts from the oldest on, up to the first that must be kept. */
export function expireClaims(state: MachineState, at: EpochMilliseconds): void {
  for (const [name, claim] of state.claims) {
    if (claim.keptUntil > at) break;
    state.claims.delete(name);
    removeAnswer(state, name);
  }
  for (const [attemptId, until] of state.barredAttempts) {
    if (until > at) break;
    state.barredAttempts.delete(attemptId);
  }
}
