export * from './consensus/index.js';
export * from './log/index.js';
export * from './machine/index.js';
