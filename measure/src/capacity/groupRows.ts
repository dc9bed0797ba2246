/** Sorts rows of several shapes into one table for each shape. */
import type { Cell, ResultTable } from './Measurement.js';

type Row = Readonly<Record<string, unknown>>;

/** Nested figures become columns of their own. */
function flatten(row: Row): Record<string, Cell> {
  const cells = Object.entries(row).flatMap(([column, value]): [string, Cell][] => {
    if (typeof value === 'object' && value !== null) return Object.entries(flatten(value as Row));
    if (typeof value === 'number' || typeof value === 'boolean') return [[column, value]];
    return [[column, String(value)]];
  });
  return Object.fromEntries(cells);
}

export function groupRows(title: string, rows: readonly object[]): ResultTable[] {
  const tables = new Map<string, Record<string, Cell>[]>();
  rows.forEach((row) => {
    const flat = flatten(row as Row);
    const shape = Object.keys(flat).join();
    const known = tables.get(shape);
    if (known === undefined) tables.set(shape, [flat]);
    else known.push(flat);
  });
  return [...tables.values()].map((grouped) => ({ title, rows: grouped }));
}
