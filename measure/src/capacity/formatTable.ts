/** Plain-text tables of results. */
import type { Cell } from './Measurement.js';

const SIGNIFICANT_DIGITS = 4;

/** Whole numbers stay whole; others are cut to four significant digits. */
export function formatCell(cell: Cell | undefined): string {
  if (cell === undefined) return '';
  if (typeof cell !== 'number' || Number.isInteger(cell)) return String(cell);
  return String(Number(cell.toPrecision(SIGNIFICANT_DIGITS)));
}

/** One line for the columns' names, then one for each row; numbers end at the right. */
export function formatTable(rows: readonly Readonly<Record<string, Cell>>[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const lines = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))];
  const widths = columns.map((_, position) =>
    Math.max(...lines.map((line) => line[position]?.length ?? 0)),
  );
  const isNumeric = columns.map((column) => rows.every((row) => typeof row[column] !== 'string'));
  const pad = (text: string, position: number) => {
    const width = widths[position] ?? 0;
    return isNumeric[position] === true ? text.padStart(width) : text.padEnd(width);
  };
  return lines.map((line) => line.map(pad).join('  ').trimEnd()).join('\n');
}
