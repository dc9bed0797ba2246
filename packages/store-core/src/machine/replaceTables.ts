/**
 * Replaces all tables together, under a version that operators assign. The highest version wins in
 * whatever order the log has the commands. Resent and superseded commands therefore need no stored
 * result: both are answered with the version in force.
 */
import {
  checkPoolReferences,
  checkPools,
  checkRoutes,
  checkWorkspaces,
  type Configuration,
  type Fault,
  type ReplaceTablesCommand,
  type ReplaceTablesResult,
} from '@hornbeampond/schema';
import { MAX_REPORTED_FAULTS } from './constants.js';
import type { MachineState } from './MachineState.js';

type ReplacementCheck =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly faults: readonly Fault[] };

/** The configuration that the command makes, or the faults of the first check that fails. */
export function checkReplacement(
  current: Configuration,
  command: ReplaceTablesCommand,
): ReplacementCheck {
  const routes = checkRoutes(command.routes);
  if (!routes.ok) return routes;
  const pools = checkPools(command.pools);
  if (!pools.ok) return pools;
  const workspaces = checkWorkspaces(command.workspaces);
  if (!workspaces.ok) return workspaces;
  const faults = checkPoolReferences(routes.rows, pools.rows);
  if (faults.length > 0) return { ok: false, faults };
  const revision = current.revision + 1;
  const { version, callerBounds } = command;
  return {
    ok: true,
    configuration: {
      ...current,
      revision,
      routes: { revision, rows: routes.rows },
      pools: { revision, rows: pools.rows },
      whole: {
        version,
        workspaces: workspaces.rows,
        ...(callerBounds === undefined ? {} : { callerBounds }),
      },
    },
  };
}

export function replaceTables(
  state: MachineState,
  command: ReplaceTablesCommand,
): ReplaceTablesResult {
  const currentVersion = state.configuration.whole?.version;
  if (currentVersion !== undefined && command.version <= currentVersion) {
    return { type: 'tablesReplaced', version: currentVersion };
  }
  const checked = checkReplacement(state.configuration, command);
  if (!checked.ok)
    return { type: 'tablesInvalid', faults: checked.faults.slice(0, MAX_REPORTED_FAULTS) };
  state.configuration = checked.configuration;
  state.document = command.document;
  // A delta cannot carry workspaces; without history subscribers are sent the whole configuration.
  state.history.length = 0;
  return { type: 'tablesReplaced', version: command.version };
}
