export * from './ConsensusState.js';
export * from './consensusEvents.js';
export * from './consensusTypes.js';
export { currentMembership, memberAddresses, votersOf } from './membership.js';
export { lastIndexOf, lastTermOf } from './memoryLog.js';
export { canFound, reduceConsensus } from './reduceConsensus.js';
export { makeElectionSeed } from './makeElectionSeed.js';
export { fillSnapshotPart } from './snapshots.js';
export { hasCommittedInCurrentTerm, leaderHint, describeRole } from './roles.js';
