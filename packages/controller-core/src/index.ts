export * from './effects.js';
export * from './events.js';
export * from './explainPlan.js';
export * from './lease/index.js';
export * from './makeDataCentreReport.js';
export * from './planning/queueing.js';
export { computeAllowedWait, computeRequiredSlotsForRoutes } from './planning/estimatePoolNeed.js';
export * from './policy.js';
export * from './reduceController.js';
export { createControllerState, type ControllerOptions, type ControllerState } from './state.js';
export * from './singleton/reduceSingleton.js';
export * from './singleton/singletonEvents.js';
export {
  makeSingletonState,
  type SingletonOptions,
  type SingletonState,
} from './singleton/SingletonState.js';
export * from './rollouts/decideRollout.js';
export { RolloutLedger, type VersionCounts } from './rollouts/RolloutLedger.js';
