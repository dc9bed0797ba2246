export * from './EntryState.js';
export * from './entryEffects.js';
export * from './entryEvents.js';
export * from './reduceEntry.js';
export * from './routing/deadlineAt.js';
export * from './routing/findRoute.js';
export * from './claims/index.js';
export * from './configuration/index.js';
