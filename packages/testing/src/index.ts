export * from './exploreStates.js';
export * from './ManualTimerService.js';
export * from './matchSnapshot.js';
