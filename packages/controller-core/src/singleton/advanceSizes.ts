/**
 * Sizes the pools: estimates the need, plans the number of instances, and sends orders for the
 * counts that differ from the platform's. Capacity follows an increase of the need immediately, but
 * a decrease only after a delay, so that a lull between two peaks costs no starts.
 */
import {
  findRollout,
  type Milliseconds,
  type Pool,
  type PoolSizing,
  type RouteDemandReport,
  type SizeOrder,
} from '@hornbeampond/schema';
import { measureLoad, computeInstanceNeed, type PoolLoad } from '../sizing/computeInstanceNeed.js';
import {
  planSizes,
  type DataCentreSize,
  type DataCentreState,
  type InstanceNeed,
  type SizeRequest,
} from '../sizing/planSizes.js';
import type { SingletonEffect } from './singletonEvents.js';
import type { AcceptedSize, SingletonState, PoolSizingState } from './SingletonState.js';

/** Reclaimable capacity falls only after the need and the plan have been lower for this long. */
const SCALE_IN_DELAY_MILLISECONDS: Milliseconds = 20_000;

/**
 * The same for on-demand instances. Shorter because they cost several times as much; covers a start
 * of a few seconds and the listing delay, so that none is removed while it starts.
 */
const ON_DEMAND_SCALE_IN_DELAY_MILLISECONDS: Milliseconds = 8000;

/** Rates cover ten seconds; before they do, the existing instances are the better estimate. */
const MIN_MEASUREMENT_MILLISECONDS: Milliseconds = 12_000;

/**
 * How much later than its start duration a new instance may be listed: the list lags by most of a
 * second and is read once a second.
 */
const MAX_LISTING_DELAY_MILLISECONDS: Milliseconds = 2000;

/** The demand of an entry is dropped after this long without a report. */
const ENTRY_TIMEOUT_MILLISECONDS: Milliseconds = 5000;

/** Reclaim waves are counted over this multiple of the start duration. */
const WAVE_WINDOW_IN_START_DURATIONS = 2;

/** After a refusal, no reclaimable instances are ordered in the data centre for this long. */
const REFUSAL_RETRY_MILLISECONDS: Milliseconds = 3000;

const DEFAULT_CONCURRENCY = 8;

function getPoolSizingState(state: SingletonState, name: string): PoolSizingState {
  const existing = state.pools.get(name);
  if (existing !== undefined) return existing;
  const created: PoolSizingState = {
    recentNeeds: [],
    recentPlans: [],
    initialCount: 0,
    waveTimes: [],
    previousReclaimable: new Map(),
    acceptedSizes: new Map(),
    closures: new Map(),
  };
  state.pools.set(name, created);
  return created;
}

function listPoolDemand(state: SingletonState, pool: Pool): RouteDemandReport[] {
  return [...state.entryReports.values()]
    .filter(({ receivedAt }) => state.now - receivedAt <= ENTRY_TIMEOUT_MILLISECONDS)
    .flatMap(({ report }) => report.demand ?? [])
    .filter((demand) => demand.pool === pool.name);
}

function countLiveInstances(
  state: SingletonState,
  pool: Pool,
  dataCentre: string,
  reclaimable: boolean,
) {
  return state.instances.filter(
    (instance) =>
      instance.pool === pool.name &&
      instance.dataCentre === dataCentre &&
      instance.state === 'live' &&
      (instance.instanceClass === 'reclaimable') === reclaimable,
  ).length;
}

function listDataCentreStates(
  state: SingletonState,
  pool: Pool,
  sizingState: PoolSizingState,
): DataCentreState[] {
  return pool.dataCentres.map((dataCentre) => {
    const onDemand = countLiveInstances(state, pool, dataCentre, false);
    return {
      dataCentre,
      reclaimable: countLiveInstances(state, pool, dataCentre, true),
      onDemand,
      isClosed: sizingState.closures.has(dataCentre),
      orderedOnDemand: sizingState.acceptedSizes.get(dataCentre)?.onDemand?.count ?? onDemand,
    };
  });
}

/**
 * Returns the measured need. Until demand has been measured long enough, the result is at least the
 * initial instance count, and half of it after a loss.
 *
 * Takes that count from the platform's list of instances until the list is stable and the count is
 * above 0, and keeps it from then on: later lists include instances ordered to meet the count.
 * While reclaimable instances replace on-demand ones both are listed, so only the larger number
 * counts.
 */
function updateNeedEstimate(
  state: SingletonState,
  sizingState: PoolSizingState,
  load: PoolLoad,
  dataCentres: readonly DataCentreState[],
): InstanceNeed {
  const { firstDemandAt } = state;
  const measuredNeed = computeInstanceNeed(load);
  const isDemandMeasured =
    firstDemandAt !== undefined && state.now - firstDemandAt >= MIN_MEASUREMENT_MILLISECONDS;
  if (isDemandMeasured) return measuredNeed;
  const reclaimable = dataCentres.reduce((sum, listed) => sum + listed.reclaimable, 0);
  const onDemand = dataCentres.reduce((sum, listed) => sum + listed.onDemand, 0);
  if (!state.isListStable || sizingState.initialCount === 0)
    sizingState.initialCount = Math.max(reclaimable, onDemand);
  return {
    normal: Math.max(sizingState.initialCount, measuredNeed.normal),
    afterLoss: Math.max(Math.ceil(sizingState.initialCount / 2), measuredNeed.afterLoss),
  };
}

function findHighestNeed(needs: readonly { readonly need: InstanceNeed }[]): InstanceNeed {
  return {
    normal: Math.max(1, ...needs.map(({ need }) => need.normal)),
    afterLoss: Math.max(1, ...needs.map(({ need }) => need.afterLoss)),
  };
}

/**
 * Makes the plan. A closed data centre gets no more reclaimable instances in it, except when the
 * next attempt is due: then as many are ordered as if none was closed.
 */
function planSizesWithClosures(
  state: SingletonState,
  { closures }: PoolSizingState,
  request: SizeRequest,
): DataCentreSize[] {
  const plan = planSizes(request);
  if (closures.size === 0) return plan;
  const dataCentres = request.dataCentres.map((listed) => ({ ...listed, isClosed: false }));
  const planWithoutClosures = planSizes({ ...request, dataCentres });
  return plan.map((size, position) => {
    if (!isAttemptDue(state, closures, size.dataCentre)) return size;
    return { ...size, reclaimable: planWithoutClosures[position]?.reclaimable ?? 0 };
  });
}

/** True if reclaimable instances were refused in the data centre and may be ordered again. */
function isAttemptDue(
  { now }: SingletonState,
  closures: PoolSizingState['closures'],
  dataCentre: string,
): boolean {
  return (closures.get(dataCentre) ?? Number.POSITIVE_INFINITY) <= now;
}

/**
 * Records the plan, and returns it with the highest reclaimable counts of the recent plans: ending
 * instances and starting them again saves nothing. While a data centre is closed, the same holds for
 * on-demand counts over a shorter time: each wave and each instance that is listed changes the plan,
 * and an instance that is ended while it starts has served nobody.
 */
function recordPlanAndDelayScaleIn(
  state: SingletonState,
  sizingState: PoolSizingState,
  { most }: PoolSizing,
  plan: readonly DataCentreSize[],
): DataCentreSize[] {
  sizingState.recentPlans = sizingState.recentPlans.filter(
    ({ at }) => state.now - at < SCALE_IN_DELAY_MILLISECONDS,
  );
  sizingState.recentPlans.push({ at: state.now, sizes: plan });
  const { recentPlans, closures, acceptedSizes } = sizingState;
  const shortWindowPlans = recentPlans.filter(
    ({ at }) => state.now - at < ON_DEMAND_SCALE_IN_DELAY_MILLISECONDS,
  );
  return plan.map((size, position) => {
    const { dataCentre } = size;
    const highestOnDemand = Math.max(
      ...shortWindowPlans.map(({ sizes }) => sizes[position]?.onDemand ?? 0),
    );
    const acceptedOnDemand = acceptedSizes.get(dataCentre)?.onDemand?.count ?? 0;
    const keptOnDemand = closures.size > 0 ? Math.min(acceptedOnDemand, highestOnDemand) : 0;
    const onDemand = Math.max(size.onDemand, keptOnDemand);
    const highestReclaimable = Math.max(
      ...recentPlans.map(({ sizes }) => sizes[position]?.reclaimable ?? 0),
    );
    // The platform refuses an order that brings both kinds above the limit.
    return { dataCentre, onDemand, reclaimable: Math.min(highestReclaimable, most - onDemand) };
  });
}

/** True if reclaimable instances were refused in the data centre and may not be ordered again yet. */
function isClosedNow(
  state: SingletonState,
  { closures }: PoolSizingState,
  dataCentre: string,
): boolean {
  return closures.has(dataCentre) && !isAttemptDue(state, closures, dataCentre);
}

function makeOrders(
  pool: Pool,
  { dataCentre, reclaimable, onDemand }: DataCentreSize,
): SizeOrder[] {
  return [
    { pool: pool.name, dataCentre, reclaimable: true, count: reclaimable },
    { pool: pool.name, dataCentre, reclaimable: false, count: onDemand },
  ];
}

/**
 * True if the order need not be sent: it was accepted before and is fulfilled or may still be, or
 * no order was accepted and the listed count is already right. The platform does not replace
 * instances lost to a wave or a crash, so an order that is unfulfilled after the start duration and
 * the listing delay is sent again.
 */
function isFulfilledOrPending(
  state: SingletonState,
  sizing: PoolSizing,
  acceptedSize: AcceptedSize | undefined,
  dataCentre: DataCentreState,
  order: SizeOrder,
): boolean {
  const accepted = order.reclaimable ? acceptedSize?.reclaimable : acceptedSize?.onDemand;
  const liveCount = order.reclaimable ? dataCentre.reclaimable : dataCentre.onDemand;
  if (accepted === undefined) return liveCount === order.count;
  if (accepted.count !== order.count) return false;
  const fulfilmentTimeout = sizing.startMilliseconds + MAX_LISTING_DELAY_MILLISECONDS;
  return liveCount >= order.count || state.now - accepted.acceptedAt < fulfilmentTimeout;
}

/** While both versions run, fewer instances might take away those that the roll-out needs. */
function isLoweredDuringRollout(
  state: SingletonState,
  { pool, reclaimable, count }: SizeOrder,
  acceptedSize: AcceptedSize | undefined,
): boolean {
  const rollout = findRollout(state.configuration.rollouts, pool);
  if (rollout?.phase !== 'running') return false;
  const accepted = reclaimable ? acceptedSize?.reclaimable : acceptedSize?.onDemand;
  return accepted === undefined || count < accepted.count;
}

function measurePoolLoad(state: SingletonState, pool: Pool): PoolLoad {
  const concurrency = pool.instanceClasses[0]?.concurrency ?? DEFAULT_CONCURRENCY;
  return measureLoad(listPoolDemand(state, pool), concurrency);
}

/**
 * Records a wave for each data centre that lost all its reclaimable instances without an accepted
 * order for 0, and returns the number of recent waves.
 */
function recordAndCountWaves(
  state: SingletonState,
  sizingState: PoolSizingState,
  dataCentres: readonly DataCentreState[],
  { startMilliseconds }: PoolSizing,
): number {
  const { acceptedSizes, previousReclaimable } = sizingState;
  const reclaimedDataCentres = dataCentres.filter(
    ({ dataCentre, reclaimable }) =>
      reclaimable === 0 &&
      (previousReclaimable.get(dataCentre) ?? 0) > 0 &&
      acceptedSizes.get(dataCentre)?.reclaimable?.count !== 0,
  );
  dataCentres.forEach(({ dataCentre, reclaimable }) =>
    previousReclaimable.set(dataCentre, reclaimable),
  );
  const waveWindowStart = state.now - WAVE_WINDOW_IN_START_DURATIONS * startMilliseconds;
  sizingState.waveTimes = [
    ...sizingState.waveTimes,
    ...reclaimedDataCentres.map(() => state.now),
  ].filter((at) => at > waveWindowStart);
  return sizingState.waveTimes.length;
}

function sizePool(state: SingletonState, pool: Pool, sizing: PoolSizing, epoch: number) {
  const sizingState = getPoolSizingState(state, pool.name);
  const dataCentres = listDataCentreStates(state, pool, sizingState);
  const load = measurePoolLoad(state, pool);
  sizingState.recentNeeds = sizingState.recentNeeds.filter(
    ({ at }) => state.now - at < SCALE_IN_DELAY_MILLISECONDS,
  );
  sizingState.recentNeeds.push({
    at: state.now,
    need: updateNeedEstimate(state, sizingState, load, dataCentres),
  });
  const shortWindowNeeds = sizingState.recentNeeds.filter(
    ({ at }) => state.now - at < ON_DEMAND_SCALE_IN_DELAY_MILLISECONDS,
  );
  const longWindowNeed = findHighestNeed(sizingState.recentNeeds);
  const needWindows = {
    longWindow: longWindowNeed,
    shortWindow: findHighestNeed(shortWindowNeeds),
  };
  const recentWaveCount = recordAndCountWaves(state, sizingState, dataCentres, sizing);
  const plan = recordPlanAndDelayScaleIn(
    state,
    sizingState,
    sizing,
    planSizesWithClosures(state, sizingState, {
      sizing,
      needWindows,
      dataCentres,
      recentWaveCount,
    }),
  );
  return plan.flatMap((size, position): SingletonEffect[] => {
    const dataCentre = dataCentres[position];
    if (dataCentre === undefined) return [];
    const acceptedSize = sizingState.acceptedSizes.get(size.dataCentre);
    return (
      makeOrders(pool, size)
        // Until the list is stable, the planned on-demand count may be based on an incomplete list,
        // and the order would end instances that are not listed yet.
        .filter((order) => order.reclaimable || state.isListStable)
        .filter((order) => !isFulfilledOrPending(state, sizing, acceptedSize, dataCentre, order))
        .filter((order) => !order.reclaimable || !isClosedNow(state, sizingState, size.dataCentre))
        .filter((order) => !isLoweredDuringRollout(state, order, acceptedSize))
        .flatMap((order): SingletonEffect[] => [
          { type: 'log', event: 'sizeOrdered', fields: { ...order, ...longWindowNeed, ...load } },
          { type: 'orderSize', order, epoch },
        ])
    );
  });
}

/**
 * Plans and orders the sizes of all pools. Called for each new list, so that a wave is handled as
 * soon as it is listed.
 */
export function advanceSizes(state: SingletonState): SingletonEffect[] {
  const { epoch } = state;
  if (!state.options.ordersInstances || epoch === undefined) return [];
  return state.configuration.pools.rows.flatMap((pool) =>
    pool.sizing === undefined ? [] : sizePool(state, pool, pool.sizing, epoch),
  );
}

/**
 * Records an accepted order. After a refusal of reclaimable instances, the data centre counts as
 * closed until an order of them is accepted. If it counted as open from the next attempt on, the plan
 * would end on-demand instances there and order them again after each refused attempt.
 */
export function handleSizeOrderOutcome(
  state: SingletonState,
  order: SizeOrder,
  outcome: 'done' | 'refused' | 'failed',
): SingletonEffect[] {
  const sizingState = getPoolSizingState(state, order.pool);
  const { dataCentre, reclaimable, count } = order;
  if (outcome === 'refused') {
    if (reclaimable) {
      sizingState.closures.set(dataCentre, state.now + REFUSAL_RETRY_MILLISECONDS);
    }
    return [{ type: 'log', event: 'sizeRefused', fields: { ...order } }];
  }
  // It is unknown whether a failed order took effect; the next plan orders again.
  if (outcome === 'failed') return [];
  if (reclaimable) sizingState.closures.delete(dataCentre);
  const previous = sizingState.acceptedSizes.get(dataCentre);
  const accepted = { count, acceptedAt: state.now };
  sizingState.acceptedSizes.set(dataCentre, {
    ...previous,
    ...(reclaimable ? { reclaimable: accepted } : { onDemand: accepted }),
  });
  return [];
}
