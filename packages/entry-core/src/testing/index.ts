/** Test harnesses and examples for tests and measurements; never imported by the binaries. */
export * from './EntryHarness.js';
export * from './examples.js';
export * from './makeArrivals.js';
