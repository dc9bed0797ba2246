/**
 * The state machine of the replicated log: a deterministic function of the state and a timestamped
 * command. Time comes only from the commands, so all stores compute the same results.
 */
import type {
  CommandResult,
  EpochMilliseconds,
  StampedCommand,
  StoreCommand,
} from '@hornbeampond/schema';
import { expireClaims, openClaim, releaseClaim, settleClaim } from './claims.js';
import { releaseLease, takeLease } from './leases.js';
import type { MachineState } from './MachineState.js';
import { pruneCrashes, reportCrash } from './quarantine.js';
import { replaceTables } from './replaceTables.js';
import { pruneChanges, putTable } from './putTable.js';
import { advanceRollout, startRollout } from './rollouts.js';
import { settleUsage } from './settleUsage.js';

function runCommand(
  state: MachineState,
  at: EpochMilliseconds,
  command: StoreCommand,
): CommandResult {
  switch (command.type) {
    case 'putTable':
      return putTable(state, at, command);
    case 'replaceTables':
      return replaceTables(state, command);
    case 'openClaim':
      return openClaim(state, at, command);
    case 'releaseClaim':
      return releaseClaim(state, at, command);
    case 'settleClaim':
      return settleClaim(state, at, command);
    case 'takeLease':
      return takeLease(state, at, command);
    case 'releaseLease':
      return releaseLease(state, at, command);
    case 'reportCrash':
      return reportCrash(state, at, command);
    case 'settleUsage':
      return settleUsage(state, command);
    case 'startRollout':
      return startRollout(state, at, command);
    case 'advanceRollout':
      return advanceRollout(state, at, command);
    default:
      return command satisfies never;
  }
}

/** Applies the next command of the log to the state, in place, and returns its result. */
export function applyCommand(state: MachineState, stamped: StampedCommand): CommandResult {
  // A new leader's wall clock may be behind; expired claims and leases must not become valid again.
  const at = Math.max(state.lastAt, stamped.at);
  state.lastAt = at;
  pruneChanges(state, at);
  expireClaims(state, at);
  pruneCrashes(state, at);
  return runCommand(state, at, stamped.command);
}
