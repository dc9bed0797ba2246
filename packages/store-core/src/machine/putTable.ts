/**
 * Changes one table, routes or pools. The order of the log decides a race: of two valid changes to the
 * same revision of a table the first is accepted, and the second is refused as stale.
 */
import { createHash } from 'node:crypto';
import {
  checkPoolReferences,
  checkPools,
  checkRoutes,
  type Configuration,
  type EpochMilliseconds,
  type Fault,
  type PutTableCommand,
  type PutTableResult,
} from '@hornbeampond/schema';
import {
  CHANGE_RETENTION_MILLISECONDS,
  MAX_CHANGE_RECORDS,
  MAX_REPORTED_FAULTS,
} from './constants.js';
import { recordTableChange } from './ConfigurationHistory.js';
import type { MachineState } from './MachineState.js';

type ChangeCheck =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly faults: readonly Fault[] };

/** JSON replacer that sorts the keys of each object, so that equal content has one digest. */
function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)));
}

function computeDigest({ table, baseRevision, rows }: PutTableCommand): string {
  const content = JSON.stringify({ table, baseRevision, rows }, sortKeys);
  return createHash('sha256').update(content).digest('base64url');
}

function checkJoinedTables(
  configuration: Configuration,
  routes: Configuration['routes'],
  pools: Configuration['pools'],
): ChangeCheck {
  const faults = checkPoolReferences(routes.rows, pools.rows);
  if (faults.length > 0) return { ok: false, faults };
  const revision = configuration.revision + 1;
  return { ok: true, configuration: { ...configuration, revision, routes, pools } };
}

/** Checks the rows by themselves and together with the other table. */
function checkChange(current: Configuration, command: PutTableCommand): ChangeCheck {
  const revision = current.revision + 1;
  if (command.table === 'routes') {
    const checked = checkRoutes(command.rows);
    if (!checked.ok) return checked;
    return checkJoinedTables(current, { revision, rows: checked.rows }, current.pools);
  }
  const checked = checkPools(command.rows);
  if (!checked.ok) return checked;
  return checkJoinedTables(current, current.routes, { revision, rows: checked.rows });
}

function applyChange(state: MachineState, command: PutTableCommand): PutTableResult {
  const before = state.configuration;
  const currentRevision = before[command.table].revision;
  if (command.baseRevision !== currentRevision) return { type: 'revisionStale', currentRevision };
  const checked = checkChange(before, command);
  if (!checked.ok)
    return { type: 'tableInvalid', faults: checked.faults.slice(0, MAX_REPORTED_FAULTS) };
  state.configuration = checked.configuration;
  recordTableChange(state.history, command.table, before, checked.configuration);
  return { type: 'tableAccepted', revision: checked.configuration.revision };
}

/**
 * Applies one change and stores its result by change id. An operator who did not receive the result
 * resends the change, perhaps to another leader, and gets the stored result. Applying the change again
 * would refuse it as stale although it was accepted.
 */
export function putTable(
  state: MachineState,
  at: EpochMilliseconds,
  command: PutTableCommand,
): PutTableResult {
  const digest = computeDigest(command);
  const earlier = state.changes.get(command.changeId);
  if (earlier !== undefined) {
    return earlier.digest === digest ? earlier.result : { type: 'changeIdReused' };
  }
  const result = applyChange(state, command);
  state.changes.set(command.changeId, { at, digest, result });
  return result;
}

/** Removes change ids past their retention, and the oldest ones above `MAX_CHANGE_RECORDS`. */
export function pruneChanges(state: MachineState, at: EpochMilliseconds): void {
  for (const [changeId, change] of state.changes) {
    const isExpired = change.at + CHANGE_RETENTION_MILLISECONDS <= at;
    if (!isExpired && state.changes.size <= MAX_CHANGE_RECORDS) return;
    state.changes.delete(changeId);
  }
}
