export { applyCommand } from './applyCommand.js';
export {
  BARRED_ATTEMPT_RETENTION_MILLISECONDS,
  CLAIM_RETENTION_MILLISECONDS,
} from './constants.js';
export { configurationSince, type ConfigurationUpdate } from './configurationSince.js';
export { MachineState } from './MachineState.js';
export { quarantineAt } from './quarantine.js';
export {
  restoreSnapshot,
  SNAPSHOT_VERSION,
  takeSnapshot,
  type MachineSnapshot,
} from './snapshot.js';
