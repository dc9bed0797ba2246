export * from './consensus/index.js';
export * from './machine/index.js';
