/**
 * The lists of label values of counters. Refusals are labelled with their error kind, which is
 * defined in `errorKinds`; all other lists are here.
 */

/** Why an attempt at a backend server was followed by another attempt. */
export const retryReasons = [
  'connectFailed',
  'connectionSilent',
  'backendServerBusy',
  'backendServerError',
  'backendServerLost',
  'streamStalled',
  'reclaimNotice',
  'serverSlow',
] as const;
export type RetryReason = (typeof retryReasons)[number];

/** Why a failed attempt was not retried. */
export const retryRefusalReasons = [
  'budgetSpent',
  'deadlineTooNear',
  'answerStarted',
  'notIdempotent',
  'quarantined',
  'noOtherBackendServer',
  'attemptsUsedUp',
  'shuttingDown',
] as const;
export type RetryRefusalReason = (typeof retryRefusalReasons)[number];

/**
 * What proves that a backend server did not run a call. Nothing else does: a server may run a call and
 * then answer with any status, and a connection may be lost with any error code.
 *
 * - `notConnected`: no connection was established.
 * - `nothingWritten`: nothing was written to the call's own connection.
 * - `declined`: a response that names the call states that it was not run.
 * - `otherServer`: another server has the address, and it runs only calls that name it.
 */
export const notRunProofs = ['notConnected', 'nothingWritten', 'declined', 'otherServer'] as const;
export type NotRunProof = (typeof notRunProofs)[number];

/** Why a call that took long was not sent to another backend server as well. */
export const hedgeRefusalReasons = [
  'notMeasured',
  'answerBegun',
  'attemptsUsedUp',
  'processSlow',
  'suspect',
  'mostCallsLate',
  'deadlineTooNear',
  'budgetShort',
  'noFreeServer',
] as const;
export type HedgeRefusalReason = (typeof hedgeRefusalReasons)[number];

/** What is counted of hedges; each one that is sent is won or lost in the end. */
export const hedgeOutcomes = ['sent', 'won', 'lost'] as const;
export type HedgeOutcome = (typeof hedgeOutcomes)[number];

/** Why tokens that an engine had already computed were recomputed. */
export const recomputeReasons = [
  'reclaimResume',
  'lossResume',
  'stallResume',
  'prefixMiss',
] as const;
export type RecomputeReason = (typeof recomputeReasons)[number];

/** Why a late answer, or a late part of an answer, was dropped. */
export const lateAnswerReasons = ['attemptGivenUp', 'callerGone', 'duplicate'] as const;
export type LateAnswerReason = (typeof lateAnswerReasons)[number];

/** Why a controller resends the start or the end of an instance, or an order. */
export const fleetRetryReasons = [
  'startAnswerLost',
  'endAnswerLost',
  'orderAnswerLost',
  'orderFailed',
  'weightStoreBusy',
] as const;
export type FleetRetryReason = (typeof fleetRetryReasons)[number];

/** Why a controller drained an instance. */
export const drainReasons = ['scaleIn', 'reload', 'stray', 'neverServed'] as const;
export type DrainReason = (typeof drainReasons)[number];

/** Failures for which a backend server is ejected. */
export const ejectionReasons = [
  'connectFailed',
  'serverError',
  'connectionLost',
  'silent',
  'malformed',
] as const;
export type EjectionReason = (typeof ejectionReasons)[number];

/** What shows that an answer has ended. */
export const answerEndEvidence = ['framing', 'close'] as const;
export type AnswerEndEvidence = (typeof answerEndEvidence)[number];

/** Why an answer that has begun is not whole. */
export const incompleteAnswerReasons = [
  /** Its length or chunks show that bytes are missing. */
  'cut',
  /** It has neither, and its connection was reset, or may have been. */
  'reset',
  /** It is a stream that ended inside an event. */
  'partialEvent',
  /** It has neither, and its backend server closed its connection before it had the whole request. */
  'requestNotSent',
  /** It has neither, and an order of this entry may have stopped its run. */
  'runStopped',
  /** It has neither, and the time has come at which the platform was to end its backend server. */
  'serverEnded',
] as const;
export type IncompleteAnswerReason = (typeof incompleteAnswerReasons)[number];

/**
 * What is known of an order that stops a run.
 *
 * - `notCarriedOut`: it is proved that its backend server did not stop the run because of it.
 * - `unknown`: it may have been carried out, or still be.
 */
export const stopOrderOutcomes = ['carriedOut', 'notCarriedOut', 'unknown'] as const;
export type StopOrderOutcome = (typeof stopOrderOutcomes)[number];

/** How a move of a stream's KV cache ended. */
export const cacheMoveOutcomes = ['moved', 'failed', 'sourceLost', 'targetLost'] as const;
export type CacheMoveOutcome = (typeof cacheMoveOutcomes)[number];

/** Whether an order to move a stream's KV cache is the first one for its run. */
export const cacheMoveOrderKinds = ['first', 'afterFailure'] as const;
export type CacheMoveOrderKind = (typeof cacheMoveOrderKinds)[number];

/**
 * Why a backend server is not ordered to move a KV cache, for now or for good.
 *
 * - `orderUnanswered`: an order for the same run is out and late.
 * - `streamResting`: an order for the same run has failed; another follows after a rest.
 * - `ordersUsedUp`: as many orders for the same run have failed as are allowed.
 * - `sourceResting`: the last orders to the server have all failed, whichever the run.
 */
export const cacheMoveRefusalReasons = [
  'orderUnanswered',
  'streamResting',
  'ordersUsedUp',
  'sourceResting',
] as const;
export type CacheMoveRefusalReason = (typeof cacheMoveRefusalReasons)[number];

/** How the version of a stream was found whose caller asks for the rest of it. */
export const streamOriginFindings = [
  /** This entry or a store knows where the stream began. */
  'known',
  /** Nobody knows, and only one version can have begun it. */
  'onlyVersion',
  /** Nobody knows, and several versions can have begun it, or some that this entry does not know. */
  'unknown',
] as const;
export type StreamOriginFinding = (typeof streamOriginFindings)[number];

/** Why a row of the list of instances names no instance to use: the first field that is not in its range. */
export const unreadableInstanceReasons = [
  /** Its bytes are no JSON; the rest of the list is read without it. */
  'bytes',
  /** It is nested deeper than any row is. */
  'nesting',
  /** It is a value without fields. */
  'noFields',
  'name',
  'pool',
  'address',
  'dataCentre',
  'version',
  'concurrency',
  'state',
  'instanceClass',
  'goneAt',
  'startToken',
  /** A reclaim notice that names no instance or no time. */
  'notice',
  /** Another row names the same instance. */
  'listedTwice',
] as const;
export type UnreadableInstanceReason = (typeof unreadableInstanceReasons)[number];

/** How an attempt to have a request answered by a store ended, as the process that asks saw it. */
export const storeAnswerKinds = [
  /** The store is not the leader, and named another store as the leader. */
  'notLeader',
  /** The store is not the leader, and knows none. */
  'noLeaderKnown',
  'readOnly',
  'tooFewStores',
  'logBacklog',
  /** The stores have received no configuration yet. */
  'nothingConfigured',
  /** The store refused for another reason, which the log line states. */
  'otherRefusal',
  /** The store does not know whether the request was carried out. */
  'unsure',
  'noAnswer',
  'connectionLost',
  /** Stores are known, and no connection to any of them was open. */
  'noConnection',
  /** There was no store to ask. */
  'noStore',
  /** The client was closed, or its time was over, before an attempt. */
  'notAsked',
] as const;

export type StoreAnswerKind = (typeof storeAnswerKinds)[number];

/**
 * Why the connection of a caller was closed without an answer.
 *
 * - `memoryShort`: it held more than others while there was no room.
 * - `tooManyConnections`: it was idle for longest, or there was no idle one.
 * - `headTimeout`: nothing but empty lines came in the time for a head.
 * - `answerUnread`: the caller did not read its answer.
 */
export const callerCloseReasons = [
  'memoryShort',
  'tooManyConnections',
  'headTimeout',
  'answerUnread',
] as const;
export type CallerCloseReason = (typeof callerCloseReasons)[number];
