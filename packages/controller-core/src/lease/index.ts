export * from './LeaseHolder.js';
