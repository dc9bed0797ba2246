export * from './ConsensusState.js';
export * from './consensusEvents.js';
export * from './consensusTypes.js';
export { currentMembership, memberAddresses, votersOf } from './membership.js';
export { lastIndexOf } from './memoryLog.js';
export { reduceConsensus } from './reduceConsensus.js';
export { seedOf } from './seedOf.js';
export { fillSnapshotPart } from './snapshots.js';
export { knowsCommitted, leaderHint, publicRole } from './roles.js';
