export * from './claims/index.js';
export * from './configuration/index.js';
