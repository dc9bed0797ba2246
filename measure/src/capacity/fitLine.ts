/** Least-squares line through measured points. */

export interface LineFit {
  /** What one more unit of size adds. */
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, from 0 to 1. */
  readonly determination: number;
}

/** Size, then what was measured at it. */
export type Point = readonly [size: number, value: number];

const LEAST_POINTS = 3;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Throws on fewer than three points: a line through two says nothing of its own error. */
export function fitLine(points: readonly Point[]): LineFit {
  if (points.length < LEAST_POINTS) throw new RangeError('a fit needs at least three sizes');
  const meanSize = mean(points.map(([size]) => size));
  const meanValue = mean(points.map(([, value]) => value));
  const spread = points.reduce((sum, [size]) => sum + (size - meanSize) ** 2, 0);
  if (spread === 0) throw new RangeError('a fit needs sizes that differ');
  const shared = points.reduce(
    (sum, [size, value]) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = shared / spread;
  const intercept = meanValue - slope * meanSize;
  const total = points.reduce((sum, [, value]) => sum + (value - meanValue) ** 2, 0);
  const left = points.reduce(
    (sum, [size, value]) => sum + (value - intercept - slope * size) ** 2,
    0,
  );
  return { slope, intercept, determination: total === 0 ? 1 : 1 - left / total };
}
