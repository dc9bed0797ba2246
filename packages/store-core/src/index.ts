export * from './machine/index.js';
