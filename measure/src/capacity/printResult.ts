/** Prints one measurement's result for people. */
import type { RunDescription } from './describeRun.js';
import { formatTable } from './formatTable.js';
import type { MeasurementResult } from './Measurement.js';

function section(title: string, rows: Parameters<typeof formatTable>[0]): string[] {
  return rows.length === 0 ? [] : [`${title}\n${formatTable(rows)}`];
}

export function printResult(run: RunDescription, result: MeasurementResult): string {
  const comparisons = result.comparisons.map((comparison) => ({
    ...comparison,
    ratio: comparison.measured / comparison.baseline,
  }));
  return [
    ...section('run', [{ ...run }]),
    ...result.tables.flatMap(({ title, rows }) => section(title, rows)),
    ...section(
      'slopes (least squares)',
      result.slopes.map((slope) => ({ ...slope })),
    ),
    ...section('against the baseline of this run', comparisons),
  ].join('\n\n');
}
