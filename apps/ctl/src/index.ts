export * from './runCommandLine.js';
