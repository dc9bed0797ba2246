export * from './Logger.js';
export * from './Metrics.js';
export * from './SystemTimerService.js';
export * from './TimerService.js';
export * from './readSettings.js';
export * from './runBinary.js';
export * from './runCommonEffect.js';
export * from './EventLoop.js';
