/**
 * Keeps the sizes of the pools: measures what is needed, plans, and tells the platform what has
 * changed. Capacity follows a rise at once; it falls only after the need was lower for a while, so
 * that a lull between two rushes costs no starts.
 */
import type {
  Milliseconds,
  Pool,
  PoolSizing,
  RouteDemandReport,
  SizeOrder,
} from '@hornbeampond/schema';
import { measureLoad, computeInstanceNeed, type PoolLoad } from '../sizing/computeInstanceNeed.js';
import {
  planSizes,
  type DataCentreSize,
  type DataCentreState,
  type InstanceNeed,
} from '../sizing/planSizes.js';
import type { SingletonEffect } from './singletonEvents.js';
import type { AcceptedSize, SingletonState, PoolSizingState } from './SingletonState.js';

/** What was needed or planned is kept for so long before capacity may fall below it. */
const SCALE_IN_DELAY_MILLISECONDS: Milliseconds = 20_000;

/**
 * The same for on-demand instances, which cost five to seven times as much: a start and a second
 * reading of the list, so that none is let go while it starts.
 */
const ON_DEMAND_SCALE_IN_DELAY_MILLISECONDS: Milliseconds = 8000;

/** Rates are taken over ten seconds; before, they say less than what is there already. */
const MIN_MEASUREMENT_MILLISECONDS: Milliseconds = 12_000;

/**
 * An instance that was ordered serves after its start and is listed up to this much later: the
 * list lags by most of a second and is read once a second.
 */
const MAX_LISTING_DELAY_MILLISECONDS: Milliseconds = 2000;

/** An entry that was not heard for so long has no demand. */
const ENTRY_TIMEOUT_MILLISECONDS: Milliseconds = 5000;

/** Waves count as following each other within the time of so many starts. */
const WAVE_WINDOW_START_DURATIONS = 2;

/** After a refusal the platform is asked again this much later. */
const REFUSAL_CLOSURE_MILLISECONDS: Milliseconds = 3000;

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
    closedUntil: new Map(),
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
      isClosed: (sizingState.closedUntil.get(dataCentre) ?? Number.NEGATIVE_INFINITY) > state.now,
      orderedOnDemand: sizingState.acceptedSizes.get(dataCentre)?.onDemand?.count ?? onDemand,
    };
  });
}

/**
 * Until demand has been measured, what was found is taken for what is needed: not what is there, as
 * that holds what was ordered by this very measure. While one kind takes over from the other both
 * are there, and only the larger number counts.
 */
function estimateNeed(
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

/** Keeps the highest reclaimable plan of the last while: starting and ending them is no saving. */
function recordPlanAndDelayScaleIn(
  state: SingletonState,
  sizingState: PoolSizingState,
  plan: readonly DataCentreSize[],
): DataCentreSize[] {
  sizingState.recentPlans = sizingState.recentPlans.filter(
    ({ at }) => state.now - at < SCALE_IN_DELAY_MILLISECONDS,
  );
  sizingState.recentPlans.push({ at: state.now, sizes: plan });
  return plan.map((size, position) => ({
    ...size,
    reclaimable: Math.max(
      ...sizingState.recentPlans.map(({ sizes }) => sizes[position]?.reclaimable ?? 0),
    ),
  }));
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
 * True if the platform was told this already and has it, or has it without being told. It does not
 * replace what a wave or a crash has taken: an order that has come to nothing is given again, or
 * the pool would stay as small, and on-demand instances stand in for the rest of the day.
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

function measurePoolLoad(state: SingletonState, pool: Pool): PoolLoad {
  const concurrency = pool.instanceClasses[0]?.concurrency ?? DEFAULT_CONCURRENCY;
  return measureLoad(listPoolDemand(state, pool), concurrency);
}

/** Takes note of the data centres that were to have reclaimable instances, and have lost all of them. */
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
  const windowStart = state.now - WAVE_WINDOW_START_DURATIONS * startMilliseconds;
  sizingState.waveTimes = [
    ...sizingState.waveTimes,
    ...reclaimedDataCentres.map(() => state.now),
  ].filter((at) => at > windowStart);
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
    need: estimateNeed(state, sizingState, load, dataCentres),
  });
  const shortWindowNeeds = sizingState.recentNeeds.filter(
    ({ at }) => state.now - at < ON_DEMAND_SCALE_IN_DELAY_MILLISECONDS,
  );
  const need = findHighestNeed(sizingState.recentNeeds);
  const needs = { longWindow: need, shortWindow: findHighestNeed(shortWindowNeeds) };
  const recentWaveCount = recordAndCountWaves(state, sizingState, dataCentres, sizing);
  const plan = recordPlanAndDelayScaleIn(
    state,
    sizingState,
    planSizes({ sizing, needs, dataCentres, recentWaveCount }),
  );
  return plan.flatMap((size, position): SingletonEffect[] => {
    const dataCentre = dataCentres[position];
    if (dataCentre === undefined) return [];
    const acceptedSize = sizingState.acceptedSizes.get(size.dataCentre);
    // By a list that still fills, on-demand instances would be let go that only are not listed yet.
    return makeOrders(pool, size)
      .filter((order) => order.reclaimable || state.isListStable)
      .filter((order) => !isFulfilledOrPending(state, sizing, acceptedSize, dataCentre, order))
      .filter((order) => !(order.reclaimable && dataCentre.isClosed))
      .flatMap((order): SingletonEffect[] => [
        { type: 'log', event: 'sizeOrdered', fields: { ...order, ...need, ...load } },
        { type: 'orderSize', order, epoch },
      ]);
  });
}

/** To be called with each new list: a wave that it shows is answered at once. */
export function advanceSizes(state: SingletonState): SingletonEffect[] {
  const { epoch } = state;
  if (!state.options.ordersInstances || epoch === undefined) return [];
  return state.configuration.pools.rows.flatMap((pool) =>
    pool.sizing === undefined ? [] : sizePool(state, pool, pool.sizing, epoch),
  );
}

/** Remembers what the platform was told, or that it has none to give there for now. */
export function handleSizeOrderOutcome(
  state: SingletonState,
  order: SizeOrder,
  outcome: 'done' | 'refused' | 'failed',
): SingletonEffect[] {
  const sizingState = getPoolSizingState(state, order.pool);
  const { dataCentre, reclaimable, count } = order;
  if (outcome === 'refused') {
    sizingState.closedUntil.set(dataCentre, state.now + REFUSAL_CLOSURE_MILLISECONDS);
    return [{ type: 'log', event: 'sizeRefused', fields: { ...order } }];
  }
  // What became of a failed order is not known; it is given again with the next plan.
  if (outcome === 'failed') return [];
  const previous = sizingState.acceptedSizes.get(dataCentre);
  const accepted = { count, acceptedAt: state.now };
  sizingState.acceptedSizes.set(dataCentre, {
    ...previous,
    ...(reclaimable ? { reclaimable: accepted } : { onDemand: accepted }),
  });
  return [];
}
