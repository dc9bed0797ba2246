/** Computes the shares of all pools of which sums are known, at most four times a second. */
import {
  addCells,
  type LogFields,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PoolUse,
} from '@hornbeampond/schema';
import { getPoolState } from '../backendServers/getPoolState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import { computeShares, type PoolShares } from '../shares/computeShares.js';
import { computeEntryPortion } from '../shares/entryPortion.js';
import { hashFraction } from '../shares/hashFraction.js';
import { ageOfSums } from '../shares/ShareState.js';
import { weightOfAge } from '../shares/weightOfAge.js';
import { countInProgress, readOwnUse } from './reportUse.js';

const COMPUTE_INTERVAL_MILLISECONDS: Milliseconds = 250;

interface KnownUse {
  readonly pools: ReadonlyMap<string, PoolUse>;
  readonly receivedAt: MonotonicMilliseconds;
}

/** Sums of the peers' reports and of this entry, where entries report directly to each other. */
function sumPeers(state: EntryState, now: MonotonicMilliseconds): KnownUse | undefined {
  const sums = state.shares.peerTotals.sum(now);
  if (sums.length === 0) return undefined;
  const pools = sums.map(({ pool, cells, tokens }): [string, PoolUse] => {
    const own = readOwnUse(state, pool, now);
    return [pool, { pool, cells: addCells([...cells, ...own.cells]), tokens: tokens + own.tokens }];
  });
  return { pools: new Map(pools), receivedAt: now };
}

function findUse(state: EntryState, now: MonotonicMilliseconds): KnownUse | undefined {
  const { received } = state.shares;
  const isUsable = received !== undefined && weightOfAge(now - received.receivedAt) > 0;
  return isUsable ? received : sumPeers(state, now);
}

function computePool(state: EntryState, { pool, cells }: PoolUse): PoolShares {
  const poolState = getPoolState(state, pool);
  const { groups } = poolState;
  return computeShares({
    cells,
    running: countInProgress(state, poolState),
    slots: groups.reduce((sum, { limitSum }) => sum + limitSum, 0),
    servers: groups.reduce((sum, { candidates }) => sum + candidates.length, 0),
    wasContended: state.shares.pools.get(pool)?.isContended === true,
  });
}

function computePortions(
  state: EntryState,
  now: MonotonicMilliseconds,
): Map<string, readonly number[]> {
  const contended = [...state.shares.pools].filter(([, { isContended }]) => isContended);
  return new Map(
    contended.map(([pool, shares]) => [
      pool,
      computeEntryPortion(shares, readOwnUse(state, pool, now).cells),
    ]),
  );
}

function describePool(pool: string, { slots, demand, running }: PoolShares): LogFields {
  return { pool, slots: Math.round(slots), demand: Math.round(demand), running };
}

function describeChange(
  state: EntryState,
  pool: string,
  before: PoolShares | undefined,
  after: PoolShares | undefined,
): EntryEffect[] {
  const isContended = after?.isContended === true;
  if (isContended === (before?.isContended === true)) return [];
  const known = after ?? before;
  const fields = known === undefined ? { pool } : describePool(pool, known);
  const age = ageOfSums(state.shares, state.clocks.now);
  return [
    {
      type: 'log',
      event: isContended ? 'poolContended' : 'poolUncontended',
      fields: { ...fields, ageOfSums: age },
    },
  ];
}

/** The last values of a pool that is no longer contended are zeros. */
function makeGauges(
  pool: string,
  before: PoolShares | undefined,
  after: PoolShares | undefined,
): EntryEffect[] {
  if (before?.isContended !== true && after?.isContended !== true) return [];
  const priorities = (after ?? before)?.priorities ?? [];
  return priorities.flatMap(({ demand, share, running, keptPerServer }, priority) => {
    if (demand === 0 && running === 0) return [];
    const label = `${pool}/${priority}`;
    const values = after?.isContended === true ? { share, running, keptPerServer } : undefined;
    return [
      { type: 'setGauge', metric: 'capacityShare', label, value: values?.share ?? 0 },
      { type: 'setGauge', metric: 'capacityUse', label, value: values?.running ?? 0 },
      { type: 'setGauge', metric: 'capacityKept', label, value: values?.keptPerServer ?? 0 },
    ] as const;
  });
}

export function updateShares(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  const { shares } = state;
  if (!shares.isEnabled || now - shares.computedAt < COMPUTE_INTERVAL_MILLISECONDS) return [];
  shares.computedAt = now;
  shares.drawn = hashFraction(`${state.identity.instance}/${now}`);
  shares.refusedCallers.expire(now);
  const use = findUse(state, now);
  const before = shares.pools;
  shares.pools = new Map(
    [...(use?.pools.values() ?? [])].map((poolUse) => [poolUse.pool, computePool(state, poolUse)]),
  );
  shares.sumsReceivedAt = use?.receivedAt;
  shares.portions = computePortions(state, now);
  const names = new Set([...before.keys(), ...shares.pools.keys()]);
  return [...names].flatMap((pool) => [
    ...describeChange(state, pool, before.get(pool), shares.pools.get(pool)),
    ...makeGauges(pool, before.get(pool), shares.pools.get(pool)),
  ]);
}
