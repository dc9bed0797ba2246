export * from './SimulatedEntry.js';
export * from './SimulatedEngine.js';
export * from './SimulatedCluster.js';
export * from './SimulatedPaths.js';
export * from './runFaultScenario.js';
export * from './batchScenarios.js';
