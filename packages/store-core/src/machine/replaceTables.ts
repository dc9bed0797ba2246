/**
 * Replacement of all tables at once under the operators' own version. The highest version wins
 * whatever order the log takes two racing operators in, so a resend and an overtaken change need
 * no memory of their own: both are answered with the version that is in force.
 */
import {
  checkJoin,
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

/** The configuration that the command makes, or everything that is wrong with it. */
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
  const faults = checkJoin(routes.rows, pools.rows);
  if (faults.length > 0) return { ok: false, faults };
  const revision = current.revision + 1;
  const { version, callerBounds } = command;
  return {
    ok: true,
    configuration: {
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
  // A delta cannot tell of workspaces; subscribers are sent the whole.
  state.history.length = 0;
  return { type: 'tablesReplaced', version: command.version };
}
