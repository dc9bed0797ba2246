export * from './EntryProcess.js';
