/**
 * Remembers which rows the latest changes touched, so that a subscriber a few changes behind gets
 * only those rows. One further behind, or one whose row order cannot be told, gets all.
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
  /** True if applying a delta would leave the rows in another order. */
  readonly reordered: boolean;
}

function byName<Row extends NamedRow>(rows: readonly Row[]): Map<string, Row> {
  return new Map(rows.map((row) => [row.name, row]));
}

function changedNames(before: readonly NamedRow[], after: readonly NamedRow[]): string[] {
  const earlier = byName(before);
  return after
    .filter((row) => JSON.stringify(row) !== JSON.stringify(earlier.get(row.name)))
    .map((row) => row.name);
}

function removedNames(before: readonly NamedRow[], after: readonly NamedRow[]): string[] {
  const later = byName(after);
  return before.filter((row) => !later.has(row.name)).map((row) => row.name);
}

/** A delta replaces rows in place and appends new ones; any other order cannot be told by it. */
function isReordered(before: readonly NamedRow[], after: readonly NamedRow[]): boolean {
  const earlier = byName(before);
  const later = byName(after);
  const kept = before.filter((row) => later.has(row.name)).map((row) => row.name);
  const added = after.filter((row) => !earlier.has(row.name)).map((row) => row.name);
  const expected = [...kept, ...added];
  return after.some((row, position) => row.name !== expected[position]);
}

/** The latest changes, oldest first. */
export type ConfigurationHistory = TableChange[];

/** Notes the change of one table from one configuration to the next. */
export function recordTableChange(
  history: ConfigurationHistory,
  table: TableName,
  before: Configuration,
  after: Configuration,
): void {
  history.push({
    revision: after.revision,
    table,
    changed: changedNames(before[table].rows, after[table].rows),
    removed: removedNames(before[table].rows, after[table].rows),
    reordered: isReordered(before[table].rows, after[table].rows),
  });
  if (history.length > MAX_CHANGES_IN_DELTA) history.shift();
}

/** The delta from `fromRevision` to `current`, or undefined if only the whole will do. */
export function makeConfigurationDelta(
  history: ConfigurationHistory,
  current: Configuration,
  fromRevision: number,
): ConfigurationDelta | undefined {
  if (fromRevision > current.revision) return undefined;
  const later = history.filter((touched) => touched.revision > fromRevision);
  const isKnown = later.length === current.revision - fromRevision;
  if (!isKnown || later.some((touched) => touched.reordered)) return undefined;
  if (hasReturnedRow(later, current)) return undefined;
  return {
    fromRevision,
    toRevision: current.revision,
    routes: tableDelta(later, 'routes', current.routes),
    pools: tableDelta(later, 'pools', current.pools),
  };
}

/**
 * A row that was removed and added again stands at the end now; a subscriber that missed the
 * removal would keep it in its old place.
 */
function hasReturnedRow(later: readonly TableChange[], current: Configuration): boolean {
  return later.some((touched) => {
    const present = byName<NamedRow>(current[touched.table].rows);
    return touched.removed.some((name) => present.has(name));
  });
}

function tableDelta<Row extends NamedRow>(
  later: readonly TableChange[],
  name: TableName,
  table: Table<Row>,
): { revision: number; changed: Row[]; removed: string[] } | undefined {
  const touched = later.filter((change) => change.table === name);
  if (touched.length === 0) return undefined;
  const names = new Set(touched.flatMap((change) => [...change.changed, ...change.removed]));
  const changed = table.rows.filter((row) => names.has(row.name));
  const present = new Set(changed.map((row) => row.name));
  const removed = [...names].filter((row) => !present.has(row));
  return { revision: table.revision, changed, removed };
}
