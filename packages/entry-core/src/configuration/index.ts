export * from './applyConfiguration.js';
export * from './ConfigurationBootstrap.js';
