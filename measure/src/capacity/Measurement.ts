/** What every measurement of `npm run measure` is, and what it hands to the printer. */
import type { LineFit } from './fitLine.js';

export type Cell = string | number | boolean;

/** Rows of one shape; columns carry their unit in their names. */
export interface ResultTable {
  readonly title: string;
  readonly rows: readonly Readonly<Record<string, Cell>>[];
}

/** What one more of something costs, fitted over the sizes of the same run. */
export interface Slope extends LineFit {
  readonly title: string;
  /** For example `bytes/s per entry`. */
  readonly unit: string;
}

/** A figure beside its baseline, both from the same run. */
export interface Comparison {
  readonly title: string;
  readonly unit: string;
  readonly baseline: number;
  readonly measured: number;
}

export interface MeasurementResult {
  readonly sizes: string;
  readonly tables: readonly ResultTable[];
  readonly slopes: readonly Slope[];
  readonly comparisons: readonly Comparison[];
  /** Set if the figures show something that must never be; the runner then ends with 1. */
  readonly violation?: string;
}

export interface MeasurementContext {
  readonly seed: number;
  /** Tells how far a long measurement has come. */
  progress(text: string): void;
}

export abstract class Measurement {
  /** As in `npm run measure -- NAME`. */
  abstract readonly name: string;

  /** One line for `--help`. */
  abstract readonly summary: string;

  /** A run that takes longer is given up. */
  readonly mostSeconds: number = 120;

  abstract run(context: MeasurementContext): Promise<MeasurementResult>;
}
