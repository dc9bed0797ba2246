/**
 * Computes the long-term speed of each backend server of a pool from its sums of samples, relative
 * to the pool's mean. Without the relation to the mean, the pool's delay regression and the speeds
 * could drift apart together.
 */
import type { SampleSum, SpeedSums } from '@hornbeampond/schema';

/** A mean is drawn towards 0 as by this many samples of 0. */
const PRIOR_SAMPLES = 5;

/** With fewer samples a server has no learnt speed. */
const MIN_SAMPLES = 15;

/**
 * Standard deviation of one sample: the logarithm of a first-token delay over the expected one
 * varies by about this much with the prompts that other entries have sent.
 */
const SAMPLE_DEVIATION = 0.5;
const MIN_STANDARD_ERRORS = 3;

/** Speeds are used from this difference from the pool's mean on, once it is certain. */
const MIN_UNEVEN_LOG = Math.log(1.25);

/** They are no longer used once all differences are below this one. */
const MAX_EVEN_LOG = Math.log(1.15);

/** A mean of agreement of 0 or more is full trust, one of this value or less is none. */
const MIN_TRUSTED_AGREEMENT = -0.5;

export type LearntKind = 'firstToken' | 'decoding';
export const learntKinds: readonly LearntKind[] = ['firstToken', 'decoding'];

/** The long-term time factor of one server by kind, as logarithms; missing without evidence. */
export type LearntLogs = Partial<Record<LearntKind, number>>;

export function shrunkMean({ sum, count }: SampleSum): number {
  return sum / (count + PRIOR_SAMPLES);
}

/** How much of a stated deviation is believed, from 0 to 1. */
export function trustIn(agreement: SampleSum): number {
  return Math.max(0, Math.min(1, 1 - shrunkMean(agreement) / MIN_TRUSTED_AGREEMENT));
}

/** The time factor of a server that states nothing lately, compared with the pool's regression. */
export function longTermLog(sums: SpeedSums, kind: LearntKind): number {
  return shrunkMean(sums[kind]) + shrunkMean(sums.stated);
}

function hasEvidence(sums: SpeedSums, kind: LearntKind): boolean {
  return sums[kind].count >= MIN_SAMPLES;
}

/** True if the difference of a server from the pool's mean is large and no accident. */
function isCertain(log: number, { count }: SampleSum): boolean {
  const error = (MIN_STANDARD_ERRORS * SAMPLE_DEVIATION) / Math.sqrt(count);
  return Math.abs(log) > MIN_UNEVEN_LOG + error;
}

/** The long-term logs of the servers of a pool, less their mean. */
export function computeRelativeLogs(
  sumsByServer: ReadonlyMap<string, SpeedSums>,
): Map<string, LearntLogs> {
  const logs = new Map<string, LearntLogs>([...sumsByServer.keys()].map((server) => [server, {}]));
  learntKinds.forEach((kind) => {
    const known = [...sumsByServer].filter(([, sums]) => hasEvidence(sums, kind));
    const mean = known.reduce((sum, [, sums]) => sum + longTermLog(sums, kind), 0) / known.length;
    known.forEach(([server, sums]) => {
      const serverLogs = logs.get(server);
      if (serverLogs !== undefined) serverLogs[kind] = longTermLog(sums, kind) - mean;
    });
  });
  return logs;
}

/**
 * True if the servers of a pool differ so much that the choice takes their speeds into account.
 * Elsewhere all count as equal, and every decision is the same as without speeds.
 */
export function isUneven(
  sumsByServer: ReadonlyMap<string, SpeedSums>,
  relativeLogs: ReadonlyMap<string, LearntLogs>,
  wasUneven: boolean,
): boolean {
  return [...relativeLogs].some(([server, logs]) =>
    learntKinds.some((kind) => {
      const log = logs[kind];
      const sums = sumsByServer.get(server);
      if (log === undefined || sums === undefined) return false;
      return isCertain(log, sums[kind]) || (wasUneven && Math.abs(log) > MAX_EVEN_LOG);
    }),
  );
}
