export * from './OperatorClient.js';
export * from './runCommandLine.js';
