/**
 * Plans every pool over all its data centres. Each active controller makes the same plan from the
 * tables, the platform's list and the other controllers' reports, and acts on the part of its own
 * data centre only; so nothing has to be agreed by messages, and no two buy the same instance.
 */
import type { Pool } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import { instancesOf, isKept, isUpToDate, hasModel } from '../fleet/FleetInstance.js';
import type { ControllerState } from '../state.js';
import { chooseMix, type Mix, type Offer } from './chooseMix.js';
import { listOffers } from './offers.js';
import type { PlannedPlace, PoolPlan, SlotNeed } from './PoolPlan.js';
import { estimatePoolNeed } from './estimatePoolNeed.js';

const MINUTE = 60_000;

type RecentNeeds = PoolPlan['recentNeeds'];

/** Keeps the highest need of each of the last minutes. */
function remember(state: ControllerState, recent: RecentNeeds, need: SlotNeed): RecentNeeds {
  const at = Math.floor(state.now / MINUTE) * MINUTE;
  const last = recent.at(-1);
  const kept = recent.filter((past) => past.at > state.now - state.policy.scaleInDelay);
  if (last?.at !== at) return [...kept, { ...need, at }];
  const merged = {
    at,
    normal: Math.max(last.normal, need.normal),
    afterLoss: Math.max(last.afterLoss, need.afterLoss),
  };
  return [...kept.filter((past) => past.at !== at), merged];
}

function highestOf(needs: readonly SlotNeed[]): SlotNeed {
  return {
    normal: Math.max(0, ...needs.map((need) => need.normal)),
    afterLoss: Math.max(0, ...needs.map((need) => need.afterLoss)),
  };
}

/**
 * Share of the pool's reclaimable slots that the largest remembered wave took. A wave inside one
 * data centre can take no more than what is there, and that loss is planned for anyway; so only
 * waves over several of them count.
 */
function largestWave(state: ControllerState, pool: Pool): number {
  const shares = state.waves
    .filter((wave) => wave.pool === pool.name && wave.dataCentres.size > 1)
    .map((wave) => Math.min(1, wave.lostSlots / Math.max(1, wave.reclaimableSlotsBefore)));
  return Math.max(0, ...shares);
}

/**
 * While instances wait for another version, one more is kept: each of them is out of service for
 * a while, and the deadline has to be met without it.
 */
function rolloutSlots(state: ControllerState, pool: Pool): number {
  const waits = instancesOf(state, pool).some(
    (instance) => isKept(instance) && hasModel(pool, instance) && !isUpToDate(pool, instance),
  );
  if (!waits) return 0;
  return Math.min(...pool.instanceClasses.map(({ concurrency }) => concurrency));
}

function toPlaces(offers: readonly Offer[], mix: Mix): PlannedPlace[] {
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
  const { currentEstimate: figures, peakAhead: ahead } = estimatePoolNeed(state, pool);
  const before = state.plans.get(pool.name);
  const recentNeeds = remember(state, before?.recentNeeds ?? [], ahead);
  const need = highestOf(recentNeeds);
  const waveLossFraction = largestWave(state, pool);
  const offers = listOffers(state, pool);
  const { least: minInstances, most: maxInstances } = pool;
  const { retentionDiscount: retentionDiscount } = state.policy;
  const extra = rolloutSlots(state, pool);
  const needed = { normal: need.normal + extra, afterLoss: need.afterLoss + extra };
  const request = {
    offers,
    need: needed,
    waveLossFraction: waveLossFraction,
    minInstances: minInstances,
    maxInstances: maxInstances,
    retentionDiscount: retentionDiscount,
  };
  const requestJson = JSON.stringify(request);
  const mix =
    before?.cachedChoice.requestJson === requestJson ? before.cachedChoice.mix : chooseMix(request);
  const places = toPlaces(offers, mix);
  const eurosPerHour = places.reduce((sum, place) => sum + place.eurosPerHour * place.wanted, 0);
  return {
    pool: pool.name,
    places,
    currentEstimate: figures,
    need,
    rolloutSlots: extra,
    waveLossFraction: waveLossFraction,
    missingSlots: mix.missingSlots,
    eurosPerHour,
    cachedChoice: { requestJson: requestJson, mix },
    recentNeeds,
  };
}

function wantedByPlace(plan: PoolPlan): Record<string, number> {
  return Object.fromEntries(
    plan.places
      .filter((place) => place.wanted > 0)
      .map((place) => [`${place.dataCentre}/${place.instanceClass}`, place.wanted]),
  );
}

function describe(plan: PoolPlan): Record<string, unknown> {
  const { currentEstimate: figures, need } = plan;
  return {
    pool: plan.pool,
    wanted: wantedByPlace(plan),
    slotsNeeded: need.normal,
    slotsNeededAfterLoss: need.afterLoss,
    rolloutSlots: plan.rolloutSlots,
    waveShare: plan.waveLossFraction,
    missingSlots: plan.missingSlots,
    requestsPerSecond: figures.requestsPerSecond,
    forecastPerSecond: figures.forecastPerSecond,
    serviceMilliseconds: figures.serviceMilliseconds,
    patienceMilliseconds: figures.shortestAllowedWait,
    eurosPerHour: plan.eurosPerHour,
  };
}

function logChange(before: PoolPlan | undefined, plan: PoolPlan): ControllerEffect[] {
  const effects: ControllerEffect[] = [];
  const old = before === undefined ? '' : JSON.stringify(wantedByPlace(before));
  if (old !== JSON.stringify(wantedByPlace(plan))) {
    effects.push({ type: 'log', event: 'planChanged', fields: describe(plan) });
  }
  if (plan.missingSlots > 0 && (before?.missingSlots ?? 0) === 0) {
    effects.push({ type: 'log', event: 'planFallsShort', fields: describe(plan) });
  }
  return effects;
}

/** Makes the plans anew; says so where what is wanted has changed. */
export function planPools(state: ControllerState): ControllerEffect[] {
  const pools = state.configuration.pools.rows;
  const names = new Set(pools.map((pool) => pool.name));
  [...state.plans.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => {
      state.plans.delete(name);
    });
  return pools.flatMap((pool) => {
    const before = state.plans.get(pool.name);
    const plan = planPool(state, pool);
    state.plans.set(pool.name, plan);
    return logChange(before, plan);
  });
}
