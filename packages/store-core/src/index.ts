export * from './consensus/index.js';
