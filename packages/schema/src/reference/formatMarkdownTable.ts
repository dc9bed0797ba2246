/** Lays out Markdown tables the way the formatter of this repository does. */

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|');
}

/** Column titles and rows of equal length. */
export function formatMarkdownTable(
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [titles, ...rows].map((line) => line.map(escapeCell));
  const widths = titles.map((_, column) =>
    Math.max(3, ...lines.map((line) => line[column]?.length ?? 0)),
  );
  const print = (cells: readonly string[]) =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const [head = [], ...body] = lines;
  const rule = widths.map((width) => '-'.repeat(width));
  return [head, rule, ...body].map(print).join('\n');
}
