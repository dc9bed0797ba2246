/**
 * The failure run by name: real processes, callers in closed loops, one failure after the other.
 * Anything that must never happen makes the run a violation.
 */
import { measureFailures } from '../failures/measureFailures.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';

const STORES = 3;
const STEP_MILLISECONDS = 2000;

export class FailuresMeasurement extends Measurement {
  override readonly name = 'failures';

  override readonly summary =
    'requests whole, refused, lost and doubled while processes and data centres fail';

  override readonly mostSeconds = 180;

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const { mustBeZero, refusedByKind, ...counts } = await measureFailures({
      stores: STORES,
      stepMilliseconds: STEP_MILLISECONDS,
      onStep: progress,
    });
    const broken = Object.entries(mustBeZero).filter(([, count]) => count !== 0);
    return {
      sizes: `8 entries, ${STORES} stores, ${STEP_MILLISECONDS} ms between failures`,
      tables: [
        { title: 'requests', rows: [counts] },
        { title: 'refused, by kind', rows: [refusedByKind] },
        { title: 'must be 0', rows: [mustBeZero] },
      ],
      slopes: [],
      comparisons: [],
      ...(broken.length === 0
        ? {}
        : { violation: broken.map(([what, count]) => `${count} ${what}`).join(', ') }),
    };
  }
}
