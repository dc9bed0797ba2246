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
const FALL_AFTER_MILLISECONDS: Milliseconds = 20_000;

/**
 * The same for on-demand instances, which cost five to seven times as much: a start and a second
 * reading of the list, so that none is let go while it starts.
 */
const ON_DEMAND_FALL_AFTER_MILLISECONDS: Milliseconds = 8000;

/** Rates are taken over ten seconds; before, they say less than what is there already. */
const MEASURED_AFTER_MILLISECONDS: Milliseconds = 12_000;

/**
 * An instance that was ordered serves after its start and is listed up to this much later: the
 * list lags by most of a second and is read once a second.
 */
const LISTED_LATE_MILLISECONDS: Milliseconds = 2000;

/** An entry that was not heard for so long has no demand. */
const ENTRY_SILENCE_MILLISECONDS: Milliseconds = 5000;

/** Waves count as following each other within the time of so many starts. */
const STARTS_LOOKED_BACK = 2;

/** After a refusal the platform is asked again this much later. */
const CLOSED_MILLISECONDS: Milliseconds = 3000;

const DEFAULT_CONCURRENCY = 8;

function poolStateOf(state: SingletonState, name: string): PoolSizingState {
  const known = state.pools.get(name);
  if (known !== undefined) return known;
  const made: PoolSizingState = {
    recentNeeds: [],
    recentPlans: [],
    initialCount: 0,
    waveTimes: [],
    previousReclaimable: new Map(),
    acceptedSizes: new Map(),
    closedUntil: new Map(),
  };
  state.pools.set(name, made);
  return made;
}

function demandFor(state: SingletonState, pool: Pool): RouteDemandReport[] {
  return [...state.entryReports.values()]
    .filter(({ receivedAt: heardAt }) => state.now - heardAt <= ENTRY_SILENCE_MILLISECONDS)
    .flatMap(({ report }) => report.demand ?? [])
    .filter((demand) => demand.pool === pool.name);
}

function countThere(state: SingletonState, pool: Pool, dataCentre: string, reclaimable: boolean) {
  return state.instances.filter(
    (instance) =>
      instance.pool === pool.name &&
      instance.dataCentre === dataCentre &&
      instance.state === 'live' &&
      (instance.instanceClass === 'reclaimable') === reclaimable,
  ).length;
}

function placesOf(state: SingletonState, pool: Pool, sized: PoolSizingState): DataCentreState[] {
  return pool.dataCentres.map((dataCentre) => {
    const onDemand = countThere(state, pool, dataCentre, false);
    return {
      dataCentre,
      reclaimable: countThere(state, pool, dataCentre, true),
      onDemand,
      isClosed: (sized.closedUntil.get(dataCentre) ?? Number.NEGATIVE_INFINITY) > state.now,
      orderedOnDemand: sized.acceptedSizes.get(dataCentre)?.onDemand?.count ?? onDemand,
    };
  });
}

/**
 * Until demand has been measured, what was found is taken for what is needed: not what is there, as
 * that holds what was ordered by this very measure. While one kind takes over from the other both
 * are there, and only the larger number counts.
 */
function needNow(
  state: SingletonState,
  sized: PoolSizingState,
  load: PoolLoad,
  places: readonly DataCentreState[],
): InstanceNeed {
  const { firstDemandAt: demandSince } = state;
  const measured = computeInstanceNeed(load);
  const isMeasured =
    demandSince !== undefined && state.now - demandSince >= MEASURED_AFTER_MILLISECONDS;
  if (isMeasured) return measured;
  const reclaimable = places.reduce((sum, place) => sum + place.reclaimable, 0);
  const onDemand = places.reduce((sum, place) => sum + place.onDemand, 0);
  if (!state.isListStable || sized.initialCount === 0)
    sized.initialCount = Math.max(reclaimable, onDemand);
  return {
    normal: Math.max(sized.initialCount, measured.normal),
    afterLoss: Math.max(Math.ceil(sized.initialCount / 2), measured.afterLoss),
  };
}

function highestOf(needs: readonly { readonly need: InstanceNeed }[]): InstanceNeed {
  return {
    normal: Math.max(1, ...needs.map(({ need }) => need.normal)),
    afterLoss: Math.max(1, ...needs.map(({ need }) => need.afterLoss)),
  };
}

/** Keeps the highest reclaimable plan of the last while: starting and ending them is no saving. */
function steady(
  state: SingletonState,
  sized: PoolSizingState,
  plan: readonly DataCentreSize[],
): DataCentreSize[] {
  sized.recentPlans = sized.recentPlans.filter(
    ({ at }) => state.now - at < FALL_AFTER_MILLISECONDS,
  );
  sized.recentPlans.push({ at: state.now, sizes: plan });
  return plan.map((size, position) => ({
    ...size,
    reclaimable: Math.max(
      ...sized.recentPlans.map(({ sizes }) => sizes[position]?.reclaimable ?? 0),
    ),
  }));
}

function ordersFor(pool: Pool, { dataCentre, reclaimable, onDemand }: DataCentreSize): SizeOrder[] {
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
function isInForce(
  state: SingletonState,
  sizing: PoolSizing,
  ordered: AcceptedSize | undefined,
  place: DataCentreState,
  order: SizeOrder,
): boolean {
  const told = order.reclaimable ? ordered?.reclaimable : ordered?.onDemand;
  const there = order.reclaimable ? place.reclaimable : place.onDemand;
  if (told === undefined) return there === order.count;
  if (told.count !== order.count) return false;
  const patience = sizing.startMilliseconds + LISTED_LATE_MILLISECONDS;
  return there >= order.count || state.now - told.acceptedAt < patience;
}

function measure(state: SingletonState, pool: Pool): PoolLoad {
  const concurrency = pool.instanceClasses[0]?.concurrency ?? DEFAULT_CONCURRENCY;
  return measureLoad(demandFor(state, pool), concurrency);
}

/** Takes note of the data centres that were to have reclaimable instances, and have lost all of them. */
function countWaves(
  state: SingletonState,
  sized: PoolSizingState,
  places: readonly DataCentreState[],
  { startMilliseconds }: PoolSizing,
): number {
  const { acceptedSizes: ordered, previousReclaimable: reclaimableBefore } = sized;
  const hit = places.filter(
    ({ dataCentre, reclaimable }) =>
      reclaimable === 0 &&
      (reclaimableBefore.get(dataCentre) ?? 0) > 0 &&
      ordered.get(dataCentre)?.reclaimable?.count !== 0,
  );
  places.forEach(({ dataCentre, reclaimable }) => reclaimableBefore.set(dataCentre, reclaimable));
  const since = state.now - STARTS_LOOKED_BACK * startMilliseconds;
  sized.waveTimes = [...sized.waveTimes, ...hit.map(() => state.now)].filter((at) => at > since);
  return sized.waveTimes.length;
}

function sizePool(state: SingletonState, pool: Pool, sizing: PoolSizing, epoch: number) {
  const sized = poolStateOf(state, pool.name);
  const places = placesOf(state, pool, sized);
  const load = measure(state, pool);
  sized.recentNeeds = sized.recentNeeds.filter(
    ({ at }) => state.now - at < FALL_AFTER_MILLISECONDS,
  );
  sized.recentNeeds.push({ at: state.now, need: needNow(state, sized, load, places) });
  const recent = sized.recentNeeds.filter(
    ({ at }) => state.now - at < ON_DEMAND_FALL_AFTER_MILLISECONDS,
  );
  const need = highestOf(sized.recentNeeds);
  const needs = { longWindow: need, shortWindow: highestOf(recent) };
  const wavesLately = countWaves(state, sized, places, sizing);
  const plan = steady(
    state,
    sized,
    planSizes({ sizing, needs, dataCentres: places, recentWaveCount: wavesLately }),
  );
  return plan.flatMap((size, position): SingletonEffect[] => {
    const place = places[position];
    if (place === undefined) return [];
    const ordered = sized.acceptedSizes.get(size.dataCentre);
    // By a list that still fills, on-demand instances would be let go that only are not listed yet.
    return ordersFor(pool, size)
      .filter((order) => order.reclaimable || state.isListStable)
      .filter((order) => !isInForce(state, sizing, ordered, place, order))
      .filter((order) => !(order.reclaimable && place.isClosed))
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
  const sized = poolStateOf(state, order.pool);
  const { dataCentre, reclaimable, count } = order;
  if (outcome === 'refused') {
    sized.closedUntil.set(dataCentre, state.now + CLOSED_MILLISECONDS);
    return [{ type: 'log', event: 'sizeRefused', fields: { ...order } }];
  }
  // What became of a failed order is not known; it is given again with the next plan.
  if (outcome === 'failed') return [];
  const before = sized.acceptedSizes.get(dataCentre);
  const told = { count, acceptedAt: state.now };
  sized.acceptedSizes.set(dataCentre, {
    ...before,
    ...(reclaimable ? { reclaimable: told } : { onDemand: told }),
  });
  return [];
}
