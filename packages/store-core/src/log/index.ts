export * from './FileSystem.js';
export * from './LogStore.js';
export * from './replaceFile.js';
