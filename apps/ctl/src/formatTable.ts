/** Formats rows as aligned columns. */

/** Takes rows as long as `titles`; returns no lines, not even titles, if there are no rows. */
export function formatTable(
  titles: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string[] {
  if (rows.length === 0) return [];
  const lines = [titles, ...rows.map((row) => row.map(String))];
  const widths = titles.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  return lines.map((line) =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
