export * from './EntryShell.js';
export * from './FakeEngine.js';
export * from './World.js';
export * from './waves.js';
export * from './batches.js';
