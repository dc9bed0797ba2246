export * from './lease/index.js';
