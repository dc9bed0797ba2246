export * from './generatedBlocks.js';
export * from './referencePages.js';
