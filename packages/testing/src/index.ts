export * from './exploreStates.js';
export * from './ManualTimerService.js';
export * from './matchSnapshot.js';
export * from './EngineModel.js';
export * from './VirtualTimeline.js';
