/** For tests and measurements only; the binaries never import it. */
export * from './EntryHarness.js';
export * from './examples.js';
export * from './makeArrivals.js';
