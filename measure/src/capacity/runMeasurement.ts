/** Runs one measurement within its bound of time. */
import {
  countProcessors,
  readLoad,
  readPackageVersion,
  type RunDescription,
} from './describeRun.js';
import type { Measurement, MeasurementContext, MeasurementResult } from './Measurement.js';

export interface MeasurementRun {
  readonly run: RunDescription;
  readonly result: MeasurementResult;
}

async function within<Value>(work: Promise<Value>, seconds: number): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_, reject) => {
    const error = new Error(`not finished within ${seconds} s`);
    timer = setTimeout(() => reject(error), seconds * 1000);
  });
  try {
    return await Promise.race([work, limit]);
  } finally {
    clearTimeout(timer);
  }
}

export async function runMeasurement(
  measurement: Measurement,
  context: MeasurementContext,
): Promise<MeasurementRun> {
  const loadBefore = readLoad();
  const begin = performance.now();
  const result = await within(measurement.run(context), measurement.mostSeconds);
  const run = {
    measurement: measurement.name,
    seed: context.seed,
    sizes: result.sizes,
    node: process.version,
    package: readPackageVersion(),
    processors: countProcessors(),
    loadBefore,
    loadAfter: readLoad(),
    seconds: Math.round((performance.now() - begin) / 100) / 10,
  };
  return { run, result };
}
