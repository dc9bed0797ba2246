export * from './ConfigurationApplier.js';
export * from './ConfigurationStart.js';
