export * from './EntryState.js';
export * from './claims/index.js';
export * from './configuration/index.js';
export * from './entryEffects.js';
export * from './entryEvents.js';
export * from './reduceEntry.js';
export { isStatementOfInterest } from './statements/receiveStatement.js';
export * from './routing/RouteIndex.js';
export * from './routing/deadlineAt.js';
export * from './routing/findRoute.js';
export { fullRecoveryPolicy, type RecoveryPolicy } from './attempts/RetryState.js';
export { TICK_INTERVAL_MILLISECONDS } from './slowness/LoopDelayDetector.js';
export { SPENDING_DELIVERY_MILLISECONDS } from './limits/spendingDelivery.js';
export { chooseVersion } from './rollouts/chooseVersion.js';
export { describeRollouts } from './rollouts/describeRollouts.js';
export {
  recordServerDelay,
  recordVersionFailure,
  recordVersionSuccess,
} from './rollouts/recordVersionAnswer.js';
export { assumeRoom } from './statements/AssumedRoom.js';
export type { AttemptState } from './attempts/AttemptState.js';
export type { RequestState } from './requests/RequestState.js';
export { listTunnelPeers, type TunnelPeer } from './paths/listTunnelPeers.js';
export { livePeers } from './membership/livePeers.js';
export type { SpeedDescription } from './speeds/ServerSpeeds.js';
export * from './demand/buildDemandReports.js';
export { describeShares } from './admission/describeShares.js';
