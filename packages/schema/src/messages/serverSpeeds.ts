/**
 * What entries tell each other, through the stores, about the speeds of backend servers: sums of
 * samples, from which long-term speeds are computed, and what the servers last stated. All of it is
 * soft state that the receivers can do without.
 */

/**
 * What is sampled at backend servers:
 *
 * - `firstToken`: logarithm of the measured over the expected delay until the first token
 * - `decoding`: the same of the time per answer token
 * - `stated`: logarithm of the time factor that the server states
 * - `agreement`: 1 for an answer that agrees with a stated deviation, -1 for one that contradicts it
 */
export const speedKinds = ['firstToken', 'decoding', 'stated', 'agreement'] as const;
export type SpeedKind = (typeof speedKinds)[number];

/** Sum of samples and their number; both decay, so the number may be fractional. */
export interface SampleSum {
  sum: number;
  count: number;
}

/** The sums of one backend server. */
export type SpeedSums = Record<SpeedKind, SampleSum>;

/**
 * Sum and number of samples of each kind, in the order of `speedKinds` and in hundredths, which
 * takes a fourth of the bytes that objects of fractions take.
 */
export type PackedSpeedSums = readonly number[];

/** Time factor in hundredths, and the age of the statement in milliseconds, as clocks may differ. */
export type PackedStatement = readonly [number, number];

/** The speeds in a work report or in a digest. */
export interface ServerSpeedsMessage {
  /** In a report, the samples since the previous one; in a digest, the sums over all entries. */
  readonly sums?: Readonly<Record<string, PackedSpeedSums>>;
  /** What backend servers have stated, where it differs from what was known of them. */
  readonly stated?: Readonly<Record<string, PackedStatement>>;
  /** Backend servers that have restarted; samples of their earlier process are dropped. */
  readonly restarted?: readonly string[];
}

const HUNDREDTHS = 100;

export function makeSpeedSums(): SpeedSums {
  return {
    firstToken: { sum: 0, count: 0 },
    decoding: { sum: 0, count: 0 },
    stated: { sum: 0, count: 0 },
    agreement: { sum: 0, count: 0 },
  };
}

export function packSpeedSums(sums: SpeedSums): PackedSpeedSums {
  return speedKinds.flatMap((kind) =>
    [sums[kind].sum, sums[kind].count].map((value) => Math.round(value * HUNDREDTHS)),
  );
}

export function unpackSpeedSums(packed: PackedSpeedSums): SpeedSums {
  const sums = makeSpeedSums();
  speedKinds.forEach((kind, position) => {
    sums[kind].sum = (packed[2 * position] ?? 0) / HUNDREDTHS;
    sums[kind].count = (packed[2 * position + 1] ?? 0) / HUNDREDTHS;
  });
  return sums;
}

export function packStatement(timeFactor: number, age: number): PackedStatement {
  return [Math.round(timeFactor * HUNDREDTHS), Math.round(age)];
}

export function unpackStatement([hundredths, age]: PackedStatement) {
  return { timeFactor: hundredths / HUNDREDTHS, age };
}
