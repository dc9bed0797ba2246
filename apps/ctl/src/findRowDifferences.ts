/** Compares two versions of a table row by row, and formats the differences for the terminal. */
import { isDeepStrictEqual } from 'node:util';

export interface RowDifference {
  readonly change: 'added' | 'removed' | 'changed';
  readonly row: string;
  /** Keys whose values differ; empty unless the row was changed. */
  readonly keys: readonly string[];
}

type Row = Readonly<Record<string, unknown>>;

function mapRowsByName(rows: readonly unknown[]): Map<string, Row> {
  return new Map((rows as readonly Row[]).map((row) => [String(row.name), row]));
}

export function findRowDifferences(
  before: readonly unknown[],
  after: readonly unknown[],
): RowDifference[] {
  const rowsBefore = mapRowsByName(before);
  const rowsAfter = mapRowsByName(after);
  const removed = [...rowsBefore.keys()]
    .filter((name) => !rowsAfter.has(name))
    .map((row): RowDifference => ({ change: 'removed', row, keys: [] }));
  const addedOrChanged = [...rowsAfter].flatMap(([name, row]): RowDifference[] => {
    const rowBefore = rowsBefore.get(name);
    if (rowBefore === undefined) return [{ change: 'added', row: name, keys: [] }];
    const keys = [...new Set([...Object.keys(rowBefore), ...Object.keys(row)])].filter(
      (key) => !isDeepStrictEqual(rowBefore[key], row[key]),
    );
    return keys.length === 0 ? [] : [{ change: 'changed', row: name, keys }];
  });
  return [...removed, ...addedOrChanged];
}

export function formatRowDifference({ change, row, keys }: RowDifference): string {
  const sign = { added: '+', removed: '-', changed: '~' }[change];
  return keys.length === 0 ? `${sign} ${row}` : `${sign} ${row}: ${keys.join(', ')}`;
}
