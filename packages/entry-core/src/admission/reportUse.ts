/**
 * Reports this entry's use of pools in its work reports, and receives that of all entries. A pool is
 * reported while its servers are half full or requests are queued for it, and for some time after.
 */
import {
  addCells,
  MIN_RISE_INTERVAL_MILLISECONDS,
  packUse,
  unpackUse,
  useInterval,
  type CapacityUse,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PoolUse,
  type UseCell,
} from '@hornbeampond/schema';
import { estimateInProgress } from '../backendServers/estimateInProgress.js';
import type { PoolState } from '../backendServers/PoolState.js';
import type { EntryState } from '../EntryState.js';
import { countMemoryTokens } from './countMemoryTokens.js';
import type { RequestState } from '../requests/RequestState.js';

const MIN_UTILIZATION_TO_REPORT = 0.5;
const REPORTED_AFTERWARDS_MILLISECONDS: Milliseconds = 5000;

/** A larger rise is reported at once; single requests of an entry with few must not do so. */
const RISE_FACTOR = 1.25;
const RISE_SLOTS = 2;

const MILLISECONDS_PER_SECOND = 1000;

/** Requests of all entries in progress in the pool. */
export function countInProgress(state: EntryState, { groups }: PoolState): number {
  let inProgress = 0;
  groups.forEach(({ candidates }) => {
    candidates.forEach((server) => {
      inProgress += estimateInProgress(state, server);
    });
  });
  return inProgress;
}

function isHalfFull(state: EntryState, pool: PoolState): boolean {
  const slots = pool.groups.reduce((sum, { limitSum }) => sum + limitSum, 0);
  return countInProgress(state, pool) > slots * MIN_UTILIZATION_TO_REPORT;
}

function cellOf(
  { route, request }: RequestState,
  amounts: Pick<UseCell, 'running'> | Pick<UseCell, 'queued'>,
): UseCell {
  const { workspace } = request;
  return {
    priority: route.priority,
    workspace,
    offered: 0,
    work: 0,
    running: 0,
    queued: 0,
    ...amounts,
  };
}

/** This entry's use of one pool. */
export function readOwnUse(state: EntryState, pool: string, now: MonotonicMilliseconds): PoolUse {
  const cells: UseCell[] = state.shares.arrivals
    .read(pool, now)
    .map((rate) => ({ ...rate, running: 0, queued: 0 }));
  let tokens = 0;
  state.poolStates.get(pool)?.attemptIds.forEach((attemptId) => {
    const running = state.requests.get(state.attempts.get(attemptId)?.requestId ?? '');
    if (running === undefined) return;
    cells.push(cellOf(running, { running: 1 }));
    tokens += countMemoryTokens(running.request);
  });
  state.admission.queues.get(pool)?.waiting.forEach(({ requestState }) => {
    cells.push(cellOf(requestState, { queued: 1 }));
  });
  return { pool, cells: addCells(cells), tokens };
}

function findReportedPools(state: EntryState, now: MonotonicMilliseconds): string[] {
  const { reportedUntil } = state.shares;
  state.poolStates.forEach((poolState, pool) => {
    const isQueueing = (state.admission.queues.get(pool)?.size ?? 0) > 0;
    if (isQueueing || isHalfFull(state, poolState)) {
      reportedUntil.set(pool, now + REPORTED_AFTERWARDS_MILLISECONDS);
    } else if ((reportedUntil.get(pool) ?? 0) <= now) reportedUntil.delete(pool);
  });
  return [...reportedUntil.keys()];
}

function isUseDue(state: EntryState, entryCount: number, now: MonotonicMilliseconds): boolean {
  const { useSentAt, reportedWork, arrivals } = state.shares;
  const elapsed = now - useSentAt;
  if (elapsed < MIN_RISE_INTERVAL_MILLISECONDS) return false;
  if (elapsed >= useInterval(entryCount)) return true;
  return arrivals.totalWork(now) > reportedWork * RISE_FACTOR + RISE_SLOTS;
}

/**
 * True if the use is to be reported even if nothing else is. While the pools have capacity, it goes
 * with the next report of other changes, so that those are reported at the same times as without it.
 */
export function mustReportUse(
  state: EntryState,
  entryCount: number,
  now: MonotonicMilliseconds,
): boolean {
  if (!state.shares.isEnabled || !isUseDue(state, entryCount, now)) return false;
  const isQueueing = [...state.admission.queues.values()].some(({ size }) => size > 0);
  return isQueueing || [...state.shares.pools.values()].some(({ isContended }) => isContended);
}

/** The use to report now; undefined if it is not due, or if there is nothing to report. */
export function takeDueUse(
  state: EntryState,
  entryCount: number,
  now: MonotonicMilliseconds,
): CapacityUse | undefined {
  const { shares } = state;
  if (!shares.isEnabled || !isUseDue(state, entryCount, now)) return undefined;
  shares.useSentAt = now;
  shares.reportedWork = shares.arrivals.totalWork(now);
  const pools = findReportedPools(state, now);
  if (pools.length === 0 && !shares.hasReportedUse) return undefined;
  shares.hasReportedUse = pools.length > 0;
  return packUse(pools.map((pool) => readOwnUse(state, pool, now)));
}

/** Receives the sums of a store. */
export function receiveUse(
  state: EntryState,
  use: CapacityUse | undefined,
  isWhole: boolean,
  receivedAt: MonotonicMilliseconds,
): void {
  if (use === undefined && !isWhole) return;
  const pools = new Map(unpackUse(use ?? { pools: [] }).map((poolUse) => [poolUse.pool, poolUse]));
  state.shares.received = pools.size === 0 ? undefined : { pools, receivedAt };
  state.shares.computedAt = Number.NEGATIVE_INFINITY;
}

/** Counts an arrival that asks for capacity of its pool. */
export function recordArrival(
  state: EntryState,
  { route, pool, request }: RequestState,
  now: MonotonicMilliseconds,
): void {
  if (!state.shares.isEnabled) return;
  const { workspace } = request;
  const cell = { priority: route.priority, workspace };
  state.shares.arrivals.record(pool.name, cell, estimateCost(state, route.name, pool.name), now);
}

/**
 * How long a request of the route keeps a slot: as measured here, or as the sums say of the whole
 * pool. Without either it is 0, and only requests in progress count as demand.
 */
function estimateCost(state: EntryState, route: string, pool: string): Milliseconds {
  const measured = state.poolStates.get(pool)?.measureServiceTime(route)?.value;
  if (measured !== undefined) return measured;
  const cells = state.shares.received?.pools.get(pool)?.cells ?? [];
  const offered = cells.reduce((sum, cell) => sum + cell.offered, 0);
  const work = cells.reduce((sum, cell) => sum + cell.work, 0);
  return offered > 0 ? (MILLISECONDS_PER_SECOND * work) / offered : 0;
}
