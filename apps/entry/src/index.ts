export * from './AdapterDirectory.js';
export * from './CallProtocol.js';
export * from './EntryProcess.js';
export * from './makeHttpDependencies.js';
export * from './RelayServer.js';
