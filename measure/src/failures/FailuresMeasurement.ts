/** `npm run measure -- failures`: the failure run with three and with five stores. */
import {
  Measurement,
  type MeasurementContext,
  type MeasurementResult,
} from '../capacity/Measurement.js';
import { measureFailures, type FailureRunResult } from './measureFailures.js';

const STEP_MILLISECONDS = 2000;
const storeCounts = [3, 5] as const;

function toRow(stores: number, result: FailureRunResult) {
  const refused = Object.values(result.refusedByKind).reduce((sum, count) => sum + count, 0);
  const { begun, whole, unknown, resent, tableChanges, mustBeZero } = result;
  return { stores, begun, whole, refused, unknown, resent, tableChanges, ...mustBeZero };
}

function findBroken(row: object, { mustBeZero }: FailureRunResult): string[] {
  const broken = Object.entries(mustBeZero).filter(([, count]) => count !== 0);
  return broken.length === 0 ? [] : [JSON.stringify(row)];
}

export class FailuresMeasurement extends Measurement {
  override readonly name = 'failures';

  override readonly summary =
    'what callers see while entries, stores, engines and links fail; an error if a promise breaks';

  override readonly mostSeconds = 240;

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const rows = [];
    const refusals = [];
    const broken: string[] = [];
    for (const stores of storeCounts) {
      const result = await measureFailures({
        stores,
        stepMilliseconds: STEP_MILLISECONDS,
        onStep: (text) => progress(`${stores} stores: ${text}`),
      });
      const row = toRow(stores, result);
      rows.push(row);
      refusals.push({ stores, ...result.refusedByKind });
      broken.push(...findBroken(row, result));
    }
    return {
      sizes: '8 entries and 8 controllers in 4 data centres, 24 callers, 3 and 5 stores',
      tables: [
        { title: 'what callers saw', rows },
        { title: 'refusals by kind', rows: refusals },
      ],
      slopes: [],
      comparisons: [],
      ...(broken.length === 0 ? {} : { violation: `a promise was broken: ${broken.join('; ')}` }),
    };
  }
}
