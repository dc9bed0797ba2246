/** Stores for tests of other packages; never imported by the binaries. */
export * from './MemoryDisk.js';
export * from './StoreCluster.js';
