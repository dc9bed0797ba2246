/**
 * The fleet's day for each deployment, against baselines on the same day: all on-demand, the
 * cheapest place only, and a fixed size; and against the cost of a plan that knows the day ahead.
 */
import { defaultPolicy, computeRequiredSlotsForRoutes } from '@hornbeampond/controller-core';
import type { Pool } from '@hornbeampond/schema';
import { deployments, type Deployment } from './deployments.js';
import { loadsAt } from './estimateOnTime.js';
import { DAY, runDay, type DayResult } from './runDay.js';

const SEEDS = [1, 2, 3, 4, 5];
const FLOOR_STEP = 300_000;

export interface DayRow extends DayResult {
  readonly deployment: string;
  readonly strategy: string;
  readonly seed: number;
  readonly onTimeShare: number;
  /** True if the share in time reaches the latency target that the planner works to. */
  readonly meetsTarget: boolean;
  /** Cost over that of the plan that knows the day ahead. */
  readonly overFloor: number;
  /** Cost over that of all on-demand. */
  readonly overOnDemand: number;
}

function cheapest(deployment: Deployment): string {
  const prices = Object.entries(deployment.reclaimablePrice).sort(([, a], [, b]) => a - b);
  return prices[0]?.[0] ?? '';
}

function peakInstances(deployment: Deployment, pool: Pool, seed: number): number {
  const needs = needsOfDay(deployment, pool, seed);
  return Math.max(...needs.map((slots) => Math.ceil(slots / slotsOf(pool))));
}

function slotsOf(pool: Pool): number {
  return pool.instanceClasses[0]?.concurrency ?? 1;
}

/** Slots that each step of the measured day needs, known beforehand. */
function needsOfDay(deployment: Deployment, pool: Pool, seed: number): number[] {
  return Array.from({ length: DAY / FLOOR_STEP }, (_, step) => {
    const minutes = [0, 60_000, 120_000, 180_000, 240_000];
    return Math.max(
      ...minutes.map((minute) => {
        const loads = loadsAt(deployment, pool, seed, step * FLOOR_STEP + minute);
        return computeRequiredSlotsForRoutes(loads, defaultPolicy.onTimeTarget);
      }),
    );
  });
}

/**
 * The floor: the cheapest reclaimable place at every moment, just as many instances as are needed,
 * started just in time, never reclaimed and never refused, with no spare for a loss.
 */
export function floorOf(deployment: Deployment, seed: number): number {
  const factor = Math.min(...Object.values(deployment.reclaimablePrice));
  return deployment.pools.reduce((sum, pool) => {
    const price =
      Math.min(...pool.instanceClasses.map(({ eurosPerHour }) => eurosPerHour)) * factor;
    const hours = needsOfDay(deployment, pool, seed)
      .map((slots) => Math.max(pool.least, Math.ceil(slots / slotsOf(pool))))
      .reduce((total, count) => total + (count * FLOOR_STEP) / 3_600_000, 0);
    return sum + hours * price;
  }, 0);
}

type Strategy = (deployment: Deployment, pool: Pool, seed: number) => Pool;

const strategies: Readonly<Record<string, Strategy>> = {
  hornbeampond: (_, pool) => pool,
  allOnDemand: (_, pool) => ({
    ...pool,
    instanceClasses: pool.instanceClasses.filter(({ reclaimable }) => !reclaimable),
  }),
  cheapestOnly: (deployment, pool) => ({
    ...pool,
    dataCentres: [cheapest(deployment)],
    instanceClasses: pool.instanceClasses.filter(({ reclaimable }) => reclaimable),
  }),
  fixedSize: (deployment, pool, seed) => {
    const size = peakInstances(deployment, pool, seed);
    return { ...pool, least: size, most: size };
  },
};

/** All strategies on one seeded day. */
export function measureSeed(deployment: Deployment, seed: number): DayRow[] {
  const floor = floorOf(deployment, seed);
  const results = Object.entries(strategies).map(([strategy, change]) => {
    const pools = deployment.pools.map((pool) => change(deployment, pool, seed));
    return { strategy, result: runDay(deployment, pools, seed) };
  });
  const onDemand = results.find(({ strategy }) => strategy === 'allOnDemand')?.result.euros ?? 0;
  return results.map(({ strategy, result }) => ({
    deployment: deployment.name,
    strategy,
    seed,
    ...result,
    onTimeShare: result.onTime / result.requests,
    meetsTarget: result.onTime / result.requests >= defaultPolicy.onTimeTarget,
    overFloor: result.euros / floor,
    overOnDemand: result.euros / onDemand,
  }));
}

/** The rows of every deployment, strategy and seed. Prices and demand are invented. */
export async function measureDay(seeds: readonly number[] = SEEDS): Promise<DayRow[]> {
  return deployments.flatMap((deployment) =>
    seeds.flatMap((seed) => measureSeed(deployment, seed)),
  );
}
