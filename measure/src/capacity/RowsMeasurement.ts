/** A measurement that was written as a function from seed to rows and carries its own baselines. */
import { groupRows } from './groupRows.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';

export interface RowsMeasurementOptions {
  readonly name: string;
  readonly summary: string;
  /** In words, for these functions hold their sizes themselves. */
  readonly sizes: string;
  readonly mostSeconds?: number;
  readRows(context: MeasurementContext): Promise<readonly object[]>;
}

export class RowsMeasurement extends Measurement {
  override readonly name: string;

  override readonly summary: string;

  override readonly mostSeconds: number;

  constructor(private readonly options: RowsMeasurementOptions) {
    super();
    this.name = options.name;
    this.summary = options.summary;
    this.mostSeconds = options.mostSeconds ?? 300;
  }

  override async run(context: MeasurementContext): Promise<MeasurementResult> {
    const rows = await this.options.readRows(context);
    const tables = groupRows(this.name, rows);
    return { sizes: this.options.sizes, tables, slopes: [], comparisons: [] };
  }
}
