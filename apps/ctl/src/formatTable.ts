/** Lays rows out in columns. */

/** Column titles and rows of equal length; without rows there is no table. */
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
