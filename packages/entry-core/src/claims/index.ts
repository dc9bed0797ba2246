export * from './ClaimedCall.js';
export * from './reduceClaimedCall.js';
