export * from './FolderDisk.js';
export * from './StoreDisk.js';
export * from './StoreProcess.js';
export * from './testing/MemoryDisk.js';
