export * from './ControllerProcess.js';
export * from './SingletonProcess.js';
export type { ControllerPolicy } from '@hornbeampond/controller-core';
