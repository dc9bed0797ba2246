export * from './FileSystem.js';
export * from './LogStore.js';
