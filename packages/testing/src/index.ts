export * from './ManualTimerService.js';
export * from './matchSnapshot.js';
