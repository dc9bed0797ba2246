/** Formats Markdown tables with aligned columns, as Prettier does. */

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|');
}

/** All rows must have as many cells as there are titles. */
export function formatMarkdownTable(
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const escapedRows = [titles, ...rows].map((row) => row.map(escapeCell));
  const widths = titles.map((_, column) =>
    Math.max(3, ...escapedRows.map((line) => line[column]?.length ?? 0)),
  );
  const formatRow = (cells: readonly string[]) =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const [head = [], ...body] = escapedRows;
  const separator = widths.map((width) => '-'.repeat(width));
  return [head, separator, ...body].map(formatRow).join('\n');
}
