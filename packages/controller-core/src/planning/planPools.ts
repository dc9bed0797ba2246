/**
 * Plans the instances of every pool over all its data centres. Each active controller plans from
 * the tables, the platform's list and the other controllers' reports, and acts only in its own data
 * centre. Controllers with the same inputs make the same plan, so no messages are needed to agree
 * on it, and no two controllers buy in the same data centre.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import { instancesOf, isKept, isUpToDate, hasModel } from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';
import { chooseMix, type Mix, type Offer } from './chooseMix.js';
import { listOffers } from './offers.js';
import type { PlannedPlace, PoolPlan, SlotNeed } from './PoolPlan.js';
import { estimatePoolNeed } from './estimatePoolNeed.js';

const MINUTE_MILLISECONDS = 60_000;

type RecentNeeds = PoolPlan['recentNeeds'];

/**
 * Returns the recent needs with the new one. Keeps the highest need of each minute, and none older
 * than `scaleInDelay`.
 */
function addRecentNeed(
  state: ControllerState,
  recentNeeds: RecentNeeds,
  need: SlotNeed,
): RecentNeeds {
  const at = Math.floor(state.now / MINUTE_MILLISECONDS) * MINUTE_MILLISECONDS;
  const lastNeed = recentNeeds.at(-1);
  const retainedNeeds = recentNeeds.filter(
    (past) => past.at > state.now - state.policy.scaleInDelay,
  );
  if (lastNeed?.at !== at) return [...retainedNeeds, { ...need, at }];
  const merged = {
    at,
    normal: Math.max(lastNeed.normal, need.normal),
    afterLoss: Math.max(lastNeed.afterLoss, need.afterLoss),
  };
  return [...retainedNeeds.filter((past) => past.at !== at), merged];
}

function findHighestNeed(needs: readonly SlotNeed[]): SlotNeed {
  return {
    normal: Math.max(0, ...needs.map((need) => need.normal)),
    afterLoss: Math.max(0, ...needs.map((need) => need.afterLoss)),
  };
}

/**
 * Returns the largest fraction of the pool's reclaimable slots that a recent wave took. Waves
 * within one data centre are left out, because the loss of any one data centre is planned for
 * anyway.
 */
function findMaxWaveLossFraction(state: ControllerState, pool: Pool): number {
  const lossFractions = state.waves
    .filter((wave) => wave.pool === pool.name && wave.dataCentres.size > 1)
    .map((wave) => Math.min(1, wave.lostSlots / Math.max(1, wave.reclaimableSlotsBefore)));
  return Math.max(0, ...lossFractions);
}

/**
 * Returns the slots of one instance of the smallest class while instances wait to load another
 * version, else 0: an instance is out of service while it loads.
 */
function countRolloutSlots(state: ControllerState, pool: Pool): number {
  const isRolloutPending = instancesOf(state, pool).some(
    (instance) => isKept(instance) && hasModel(pool, instance) && !isUpToDate(pool, instance),
  );
  if (!isRolloutPending) return 0;
  return Math.min(...pool.instanceClasses.map(({ concurrency }) => concurrency));
}

function makePlannedPlaces(offers: readonly Offer[], mix: Mix): PlannedPlace[] {
  return offers.map((offer, position) => ({
    dataCentre: offer.dataCentre,
    instanceClass: offer.instanceClass,
    reclaimable: offer.reclaimable,
    slotsPerInstance: offer.slotsPerInstance,
    eurosPerHour: offer.eurosPerHour,
    wanted: mix.counts[position] ?? 0,
  }));
}

function planPool(state: ControllerState, pool: Pool): PoolPlan {
  const { currentEstimate, peakNeed } = estimatePoolNeed(state, pool);
  const previousPlan = state.plans.get(pool.name);
  const recentNeeds = addRecentNeed(state, previousPlan?.recentNeeds ?? [], peakNeed);
  const need = findHighestNeed(recentNeeds);
  const waveLossFraction = findMaxWaveLossFraction(state, pool);
  const offers = listOffers(state, pool);
  const { least: minInstances, most: maxInstances } = pool;
  const { retentionDiscount } = state.policy;
  const rolloutSlots = countRolloutSlots(state, pool);
  const needWithRollout = {
    normal: need.normal + rolloutSlots,
    afterLoss: need.afterLoss + rolloutSlots,
  };
  const request = {
    offers,
    need: needWithRollout,
    waveLossFraction,
    minInstances,
    maxInstances,
    retentionDiscount,
  };
  const requestJson = JSON.stringify(request);
  const mix =
    previousPlan?.cachedChoice.requestJson === requestJson
      ? previousPlan.cachedChoice.mix
      : chooseMix(request);
  const places = makePlannedPlaces(offers, mix);
  const eurosPerHour = places.reduce((sum, place) => sum + place.eurosPerHour * place.wanted, 0);
  return {
    pool: pool.name,
    places,
    currentEstimate,
    need,
    rolloutSlots,
    waveLossFraction,
    missingSlots: mix.missingSlots,
    eurosPerHour,
    cachedChoice: { requestJson, mix },
    recentNeeds,
  };
}

function countWantedByPlace(plan: PoolPlan): Record<string, number> {
  return Object.fromEntries(
    plan.places
      .filter((place) => place.wanted > 0)
      .map((place) => [`${place.dataCentre}/${place.instanceClass}`, place.wanted]),
  );
}

function makePlanLogFields(plan: PoolPlan): Record<string, unknown> {
  const { currentEstimate, need } = plan;
  return {
    pool: plan.pool,
    wanted: countWantedByPlace(plan),
    slotsNeeded: need.normal,
    slotsNeededAfterLoss: need.afterLoss,
    rolloutSlots: plan.rolloutSlots,
    waveShare: plan.waveLossFraction,
    missingSlots: plan.missingSlots,
    requestsPerSecond: currentEstimate.requestsPerSecond,
    forecastPerSecond: currentEstimate.forecastPerSecond,
    serviceMilliseconds: currentEstimate.serviceMilliseconds,
    patienceMilliseconds: currentEstimate.shortestAllowedWait,
    eurosPerHour: plan.eurosPerHour,
  };
}

function logChange(previousPlan: PoolPlan | undefined, plan: PoolPlan): ControllerEffect[] {
  const effects: ControllerEffect[] = [];
  const previousWanted =
    previousPlan === undefined ? '' : JSON.stringify(countWantedByPlace(previousPlan));
  if (previousWanted !== JSON.stringify(countWantedByPlace(plan))) {
    effects.push({ type: 'log', event: 'planChanged', fields: makePlanLogFields(plan) });
  }
  if (plan.missingSlots > 0 && (previousPlan?.missingSlots ?? 0) === 0) {
    effects.push({ type: 'log', event: 'planFallsShort', fields: makePlanLogFields(plan) });
  }
  return effects;
}

/**
 * Plans all pools and removes the plans of pools that no longer exist. Logs a plan that wants other
 * instances than before, and one that starts to fall short of the need.
 */
export function planPools(state: ControllerState): ControllerEffect[] {
  const pools = state.configuration.pools.rows;
  const names = new Set(pools.map((pool) => pool.name));
  [...state.plans.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => {
      state.plans.delete(name);
    });
  return pools.flatMap((pool) => {
    const previousPlan = state.plans.get(pool.name);
    const plan = planPool(state, pool);
    state.plans.set(pool.name, plan);
    return logChange(previousPlan, plan);
  });
}
