/** Demand at a point of the day, and a queueing estimate of how much of it is answered in time. */
import { lateShare, patienceOf } from '@hornbeampond/controller-core';
import type { Milliseconds, Pool } from '@hornbeampond/schema';
import type { Deployment, RouteCurve } from './deployments.js';
import { randomAt } from './Platform.js';

const HOUR = 3_600_000;
const MINUTE = 60_000;
/** Midnight of the measured day; times in the measure count from here and may be negative. */
export const STARTED_AT = Date.UTC(2026, 0, 15);

export interface DayLoad {
  readonly route: string;
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
  readonly patience: Milliseconds;
  readonly tokensAtCut: number;
  /** Places that are busy on average. */
  readonly busy: number;
}

/** Days differ by up to a tenth in height, ten minutes in time and, each minute, by noise. */
function rateAt(curve: RouteCurve, seed: number, now: Milliseconds, offset: Milliseconds): number {
  const day = Math.floor(now / (24 * HOUR));
  const random = (key: string) => 2 * randomAt(seed, `${curve.route.name} ${key}`) - 1;
  const height = 1 + 0.1 * random(`height ${day}`);
  const shift = 10 * MINUTE * random(`shift ${day}`);
  const noise = 1 + 0.1 * random(`noise ${Math.floor(now / MINUTE)}`);
  const hour = ((now + offset + shift) / HOUR + 48) % 24;
  const before = curve.byHour[Math.floor(hour)] ?? 0;
  const after = curve.byHour[(Math.floor(hour) + 1) % 24] ?? 0;
  return (before + (hour % 1) * (after - before)) * height * noise;
}

/** The loads of a pool's routes, the least patient first. */
export function loadsAt(
  deployment: Deployment,
  pool: Pool,
  seed: number,
  now: Milliseconds,
): DayLoad[] {
  return deployment.curves
    .filter(({ route }) => route.pool === pool.name)
    .map((curve) => {
      const { route, serviceMilliseconds, tokensAtCut } = curve;
      const requestsPerSecond = rateAt(curve, seed, now, deployment.offset);
      return {
        route: route.name,
        requestsPerSecond,
        serviceMilliseconds,
        tokensAtCut,
        patience: patienceOf(route, STARTED_AT + now, serviceMilliseconds),
        busy: (requestsPerSecond * serviceMilliseconds) / 1000,
      };
    })
    .sort((a, b) => a.patience - b.patience);
}

/** Share of one load in time, behind all that is less patient and the backlog. */
function onTimeShare(
  loads: readonly DayLoad[],
  position: number,
  slots: number,
  backlog: number,
): number {
  const ahead = loads.slice(0, position + 1);
  const rate = ahead.reduce((sum, load) => sum + load.requestsPerSecond, 0);
  const busy = ahead.reduce((sum, load) => sum + load.busy, 0);
  const patience = (loads[position]?.patience ?? 0) - backlog / Math.max(slots, 1);
  if (rate === 0) return 1;
  if (slots === 0 || patience <= 0) return 0;
  const together = { requestsPerSecond: rate, serviceMilliseconds: (busy / rate) * 1000, patience };
  return 1 - lateShare(slots, together);
}

/** What becomes of a tick's requests; `backlog` is work left over, in milliseconds of one place. */
export function estimateOnTime(
  loads: readonly DayLoad[],
  slots: number,
  backlog: number,
  tick: Milliseconds,
): { readonly requests: number; readonly onTime: number; readonly backlog: number } {
  const busy = loads.reduce((sum, load) => sum + load.busy, 0);
  const left = Math.max(0, backlog + (busy - slots) * tick);
  let requests = 0;
  let onTime = 0;
  loads.forEach((load, position) => {
    const arrived = (load.requestsPerSecond * tick) / 1000;
    requests += arrived;
    onTime += arrived * onTimeShare(loads, position, slots, left);
  });
  return { requests, onTime, backlog: left };
}
