export * from './AdapterDirectory.js';
export * from './CallProtocol.js';
export * from './EntryProcess.js';
export * from './ownBoundary.js';
export * from './RelayServer.js';
