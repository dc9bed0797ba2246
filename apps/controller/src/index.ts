export * from './ControllerProcess.js';
