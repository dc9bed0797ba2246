export * from './ControllerProcess.js';
export type { ControllerPolicy } from '@hornbeampond/controller-core';
