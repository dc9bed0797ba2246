/**
 * The closed lists of reasons that counters are labelled with, besides the error kinds. Each
 * refusal is counted by its error kind; what is not a refusal has its list here.
 */

/** Why an attempt at a backend server was followed by another. */
export const retryReasons = [
  'connectFailed',
  'connectionSilent',
  'backendServerBusy',
  'backendServerError',
  'backendServerLost',
  'streamStalled',
  'reclaimNotice',
] as const;
export type RetryReason = (typeof retryReasons)[number];

/** Why a request that could have been tried again was not. */
export const retryRefusalReasons = [
  'budgetSpent',
  'deadlineTooNear',
  'answerStarted',
  'notIdempotent',
  'quarantined',
  'noOtherBackendServer',
  'attemptsUsedUp',
] as const;
export type RetryRefusalReason = (typeof retryRefusalReasons)[number];

/** Why tokens that an engine had computed already were computed again. */
export const recomputeReasons = [
  'reclaimResume',
  'lossResume',
  'stallResume',
  'prefixMiss',
] as const;
export type RecomputeReason = (typeof recomputeReasons)[number];

/** Why a late answer or part of one was dropped. */
export const lateAnswerReasons = ['attemptGivenUp', 'callerGone', 'duplicate'] as const;
export type LateAnswerReason = (typeof lateAnswerReasons)[number];

/** Why a controller did something to the fleet again. */
export const fleetRetryReasons = [
  'startAnswerLost',
  'endAnswerLost',
  'orderAnswerLost',
  'orderFailed',
  'weightStoreBusy',
] as const;
export type FleetRetryReason = (typeof fleetRetryReasons)[number];

/** Why an instance was taken out of service by a controller. */
export const drainReasons = ['scaleIn', 'reload', 'stray', 'neverServed'] as const;
export type DrainReason = (typeof drainReasons)[number];

/** Failures for which a backend server is kept from new work for a while. */
export const ejectionReasons = [
  'connectFailed',
  'serverError',
  'connectionLost',
  'silent',
  'malformed',
] as const;
export type EjectionReason = (typeof ejectionReasons)[number];
/** How a move of a stream's KV cache ended. */
export const cacheMoveOutcomes = ['moved', 'failed', 'sourceLost', 'targetLost'] as const;
export type CacheMoveOutcome = (typeof cacheMoveOutcomes)[number];
