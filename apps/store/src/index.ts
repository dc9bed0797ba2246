export * from './FolderDisk.js';
export * from './openFolderDisk.js';
export * from './StoreDisk.js';
export * from './StoreProcess.js';
export * from './testing/MemoryDisk.js';
