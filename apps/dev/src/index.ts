export * from './DevCluster.js';
export * from './devTables.js';
