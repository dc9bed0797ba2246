export * from './ClaimedCallState.js';
export * from './reduceClaimedCall.js';
