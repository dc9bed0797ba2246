/**
 * Records which rows the latest table changes affected, so that a subscriber a few changes behind is
 * sent only those rows. Where a recorded change is missing or a delta could not reproduce the order of
 * the rows, no delta is made and the subscriber needs the whole configuration.
 */
import type { Configuration, ConfigurationDelta, Table, TableName } from '@hornbeampond/schema';
import { MAX_CHANGES_IN_DELTA } from './constants.js';

interface NamedRow {
  readonly name: string;
}

export interface TableChange {
  readonly revision: number;
  readonly table: TableName;
  /** Names of rows that were added or replaced. */
  readonly changed: readonly string[];
  readonly removed: readonly string[];
  /** True if a delta would not reproduce the order of the rows. */
  readonly reordered: boolean;
}

function indexByName<Row extends NamedRow>(rows: readonly Row[]): Map<string, Row> {
  return new Map(rows.map((row) => [row.name, row]));
}

function findChangedNames(before: readonly NamedRow[], after: readonly NamedRow[]): string[] {
  const earlier = indexByName(before);
  return after
    .filter((row) => JSON.stringify(row) !== JSON.stringify(earlier.get(row.name)))
    .map((row) => row.name);
}

function findRemovedNames(before: readonly NamedRow[], after: readonly NamedRow[]): string[] {
  const later = indexByName(after);
  return before.filter((row) => !later.has(row.name)).map((row) => row.name);
}

/** A delta replaces rows in place and appends new ones; it cannot express any other order. */
function isReordered(before: readonly NamedRow[], after: readonly NamedRow[]): boolean {
  const earlier = indexByName(before);
  const later = indexByName(after);
  const kept = before.filter((row) => later.has(row.name)).map((row) => row.name);
  const added = after.filter((row) => !earlier.has(row.name)).map((row) => row.name);
  const expected = [...kept, ...added];
  return after.some((row, position) => row.name !== expected[position]);
}

/** The latest changes, oldest first. */
export type ConfigurationHistory = TableChange[];

/** Records the change of one table between two configurations. */
export function recordTableChange(
  history: ConfigurationHistory,
  table: TableName,
  before: Configuration,
  after: Configuration,
): void {
  history.push({
    revision: after.revision,
    table,
    changed: findChangedNames(before[table].rows, after[table].rows),
    removed: findRemovedNames(before[table].rows, after[table].rows),
    reordered: isReordered(before[table].rows, after[table].rows),
  });
  if (history.length > MAX_CHANGES_IN_DELTA) history.shift();
}

/** The delta from `fromRevision` to `current`, or undefined if none can be made. */
export function makeConfigurationDelta(
  history: ConfigurationHistory,
  current: Configuration,
  fromRevision: number,
): ConfigurationDelta | undefined {
  if (fromRevision > current.revision) return undefined;
  const laterChanges = history.filter((change) => change.revision > fromRevision);
  const isComplete = laterChanges.length === current.revision - fromRevision;
  if (!isComplete || laterChanges.some((change) => change.reordered)) return undefined;
  if (hasReaddedRow(laterChanges, current)) return undefined;
  return {
    fromRevision,
    toRevision: current.revision,
    routes: makeTableDelta(laterChanges, 'routes', current.routes),
    pools: makeTableDelta(laterChanges, 'pools', current.pools),
  };
}

/**
 * True if a row was removed and added again. It is now at the end of the table, but a delta without
 * the removal would replace it at its old position.
 */
function hasReaddedRow(laterChanges: readonly TableChange[], current: Configuration): boolean {
  return laterChanges.some((change) => {
    const present = indexByName<NamedRow>(current[change.table].rows);
    return change.removed.some((name) => present.has(name));
  });
}

function makeTableDelta<Row extends NamedRow>(
  laterChanges: readonly TableChange[],
  name: TableName,
  table: Table<Row>,
): { revision: number; changed: Row[]; removed: string[] } | undefined {
  const tableChanges = laterChanges.filter((change) => change.table === name);
  if (tableChanges.length === 0) return undefined;
  const names = new Set(tableChanges.flatMap((change) => [...change.changed, ...change.removed]));
  const changed = table.rows.filter((row) => names.has(row.name));
  const present = new Set(changed.map((row) => row.name));
  const removed = [...names].filter((row) => !present.has(row));
  return { revision: table.revision, changed, removed };
}
