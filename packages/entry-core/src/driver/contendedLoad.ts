/**
 * Plays arrivals of several priorities and workspaces to the entries of a simulated cluster, with
 * callers that retry once, and counts who was served in time, late or refused.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  poolRowsSchema,
  routeRowsSchema,
  type Configuration,
  type Milliseconds,
} from '@hornbeampond/schema';
import { makeRequest, SimulatedCluster, type SimulatedClusterOptions } from './SimulatedCluster.js';
import type { CallerRecord } from './SimulatedEntry.js';

export const SLOTS_PER_ENGINE = 8;
export const FIRST_TOKEN_MILLISECONDS: Milliseconds = 1000;
export const WHOLE_ANSWER_MILLISECONDS: Milliseconds = 9000;
const STEP_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1000;
const RANDOM_RANGE = 2 ** 30;

/** Arrivals of one workspace on one route. Routes are named after their priorities. */
export interface Stream {
  readonly priority: 0 | 1 | 2;
  readonly workspace: string;
  readonly perSecond: number;
  readonly from?: Milliseconds;
  readonly to?: Milliseconds;
}

export interface Counts {
  offered: number;
  inTime: number;
  late: number;
  refused: number;
}

export interface PlayedLoad {
  readonly duration: Milliseconds;
  readonly streams: readonly Stream[];
  /** Of the arrivals; 11 by default. */
  readonly seed?: number;
  readonly ignoresRetryAfter?: (workspace: string) => boolean;
  /** Called before each step. */
  readonly onStep?: (cluster: SimulatedCluster, elapsed: Milliseconds) => void;
}

interface PlayedRequest {
  readonly stream: Stream;
  readonly digest: string;
  readonly records: CallerRecord[];
}

export function makePriorityTables(memoryTokens?: number): Configuration {
  const memory = memoryTokens === undefined ? {} : { memoryTokens };
  const instanceClass = { name: 'gpu', eurosPerHour: 1, reclaimable: true };
  const pools = poolRowsSchema.parse([
    {
      name: 'engines',
      kind: 'modelEngine',
      dataCentres: ['wien-a', 'wien-b'],
      instanceClasses: [{ ...instanceClass, concurrency: SLOTS_PER_ENGINE, ...memory }],
      least: 1,
      most: 100,
    },
  ]);
  const routes = routeRowsSchema.parse(
    [0, 1, 2].map((priority) => ({
      name: `priority-${priority}`,
      match: { pathPrefix: `/priority-${priority}` },
      pool: 'engines',
      idempotent: true,
      priority,
      timeZone: 'UTC',
      deadline: {
        firstTokenMilliseconds: FIRST_TOKEN_MILLISECONDS,
        wholeAnswerMilliseconds: WHOLE_ANSWER_MILLISECONDS,
      },
    })),
  );
  return {
    revision: 1,
    routes: { revision: 1, rows: routes },
    pools: { revision: 1, rows: pools },
  };
}

export function makeContendedCluster(
  options: Partial<SimulatedClusterOptions> & { readonly memoryTokens?: number } = {},
): SimulatedCluster {
  const { memoryTokens, ...clusterOptions } = options;
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': 10, 'wien-b': 10 },
    entries: 40,
    reportsThroughStore: true,
    configuration: makePriorityTables(memoryTokens),
    rates: { concurrency: SLOTS_PER_ENGINE },
    ...clusterOptions,
  });
  cluster.advance(MILLISECONDS_PER_SECOND);
  return cluster;
}

function drawFraction(random: RandomGenerator): number {
  return uniformInt(random, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
}

/** Entries receive callers unevenly: the last ones several times as many as the first. */
function drawEntry(random: RandomGenerator, cluster: SimulatedCluster): number {
  return Math.floor(cluster.entries.length * Math.sqrt(drawFraction(random)));
}

function submit(cluster: SimulatedCluster, entry: number, played: PlayedRequest): void {
  const { stream, digest, records } = played;
  const request = makeRequest(`${digest}-${records.length}`, {
    digest,
    workspace: stream.workspace,
    path: `/priority-${stream.priority}`,
    maxTokens: 40,
  });
  records.push(cluster.entryAt(entry).submitRequest(request));
}

function isOver({ records }: PlayedRequest): boolean {
  return records.some(({ finalAnswers }) => finalAnswers[0]?.type === 'whole');
}

const IGNORING_CALLER_INTERVAL_MILLISECONDS = 100;
const TRIES_OF_IGNORING_CALLER = 8;

function retryWhenDue(
  cluster: SimulatedCluster,
  played: PlayedRequest,
  random: RandomGenerator,
  isIgnoring: boolean,
): void {
  const answer = played.records.at(-1)?.finalAnswers[0];
  const maxTries = isIgnoring ? TRIES_OF_IGNORING_CALLER : 2;
  if (answer?.type !== 'problem' || played.records.length >= maxTries) return;
  const told = answer.retryAfterMilliseconds ?? MILLISECONDS_PER_SECOND;
  const wait = isIgnoring ? IGNORING_CALLER_INTERVAL_MILLISECONDS : told;
  if (cluster.clock().now < answer.at + wait) return;
  submit(cluster, drawEntry(random, cluster), played);
}

function classify({ records }: PlayedRequest, counts: Counts): void {
  counts.offered += 1;
  const served = records.find(({ finalAnswers }) => finalAnswers[0]?.type === 'whole');
  if (served === undefined) counts.refused += 1;
  else if ((served.firstTokenAt ?? Infinity) - served.arrivedAt <= FIRST_TOKEN_MILLISECONDS) {
    counts.inTime += 1;
  } else counts.late += 1;
}

/** Sums the counts whose keys (`priority/workspace`) match, as the fraction served in time. */
export function fractionInTime(results: ReadonlyMap<string, Counts>, pattern: RegExp): number {
  const matching = [...results].filter(([key]) => pattern.test(key)).map(([, counts]) => counts);
  const offered = matching.reduce((sum, counts) => sum + counts.offered, 0);
  return matching.reduce((sum, counts) => sum + counts.inTime, 0) / offered;
}

/** Requests in progress at all engines. */
export function countRunning(cluster: SimulatedCluster): number {
  return [...cluster.engines.values()].reduce((sum, { streams }) => sum + streams.size, 0);
}

/** Plays the load and returns the counts by `priority/workspace`. */
export function playLoad(
  cluster: SimulatedCluster,
  { duration, streams, seed = 11, ignoresRetryAfter = () => false, onStep }: PlayedLoad,
): Map<string, Counts> {
  const random = xoroshiro128plus(seed);
  const played: PlayedRequest[] = [];
  for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
    onStep?.(cluster, elapsed);
    played.forEach((request) => {
      if (isOver(request)) return;
      const isIgnoring = ignoresRetryAfter(request.stream.workspace);
      retryWhenDue(cluster, request, random, isIgnoring);
    });
    streams.forEach((stream) => {
      const { from = 0, to = duration, perSecond } = stream;
      const chance = (perSecond * STEP_MILLISECONDS) / MILLISECONDS_PER_SECOND;
      const count = Math.floor(chance + drawFraction(random));
      for (let number = 0; number < count && elapsed >= from && elapsed < to; number += 1) {
        const digest = `request-${played.length}`;
        const request: PlayedRequest = { stream, digest, records: [] };
        played.push(request);
        submit(cluster, drawEntry(random, cluster), request);
      }
    });
    cluster.advance(STEP_MILLISECONDS);
  }
  cluster.runUntilAnswered(WHOLE_ANSWER_MILLISECONDS);
  const results = new Map<string, Counts>();
  played.forEach((request) => {
    const key = `${request.stream.priority}/${request.stream.workspace}`;
    const counts = results.get(key) ?? { offered: 0, inTime: 0, late: 0, refused: 0 };
    classify(request, counts);
    results.set(key, counts);
  });
  return results;
}
