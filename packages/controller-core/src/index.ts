export * from './effects.js';
export * from './events.js';
export * from './explainPlan.js';
export * from './lease/index.js';
export * from './makeReport.js';
export * from './planning/queueing.js';
export * from './policy.js';
export * from './reduceController.js';
export { createControllerState, type ControllerOptions, type ControllerState } from './state.js';
