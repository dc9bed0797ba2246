/**
 * The changes of the tables between two revisions, by row name. Stores send deltas so that a change
 * of one row does not require sending all rows. A delta applies to its `fromRevision` only.
 */
import type { Configuration, Table } from './Configuration.js';
import type { Pool } from './pools.js';
import type { Route } from './routes.js';

export interface TableDelta<Row> {
  /** The table's revision after the delta. */
  readonly revision: number;
  /** Rows that were added or replaced, in the order of the table. */
  readonly changed: readonly Row[];
  /** Names of rows that were removed. */
  readonly removed: readonly string[];
}

export interface ConfigurationDelta {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Missing if the table did not change. */
  readonly routes?: TableDelta<Route>;
  readonly pools?: TableDelta<Pool>;
}

function applyTableDelta<Row extends { readonly name: string }>(
  table: Table<Row>,
  delta: TableDelta<Row> | undefined,
): Table<Row> {
  if (delta === undefined) return table;
  const removed = new Set(delta.removed);
  const changedByName = new Map(delta.changed.map((row) => [row.name, row]));
  const remaining = table.rows.filter((row) => !removed.has(row.name));
  const remainingNames = new Set(remaining.map((row) => row.name));
  const added = delta.changed.filter((row) => !remainingNames.has(row.name));
  const updated = remaining.map((row) => changedByName.get(row.name) ?? row);
  return { revision: delta.revision, rows: [...updated, ...added] };
}

/**
 * Returns the configuration after the delta, or undefined if the delta starts from another revision
 * and the whole configuration has to be requested.
 */
export function applyDelta(
  configuration: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  if (configuration.revision !== delta.fromRevision) return undefined;
  return {
    ...configuration,
    revision: delta.toRevision,
    routes: applyTableDelta(configuration.routes, delta.routes),
    pools: applyTableDelta(configuration.pools, delta.pools),
  };
}
