/**
 * Chooses a cheap mix of instances over all places that covers the need as far as possible, also
 * right after the planned loss: the reclaimable instances of any one data centre, or a reclaim wave
 * as large as a recent one.
 *
 * The search combines candidate amounts of on-demand slots with candidate limits on the reclaimable
 * slots of a data centre. For each pair it fills the places in order of the price per slot. It is a
 * deterministic heuristic: the same request gives the same mix in all controllers.
 */
import type { Euros } from '@hornbeampond/schema';
import type { SlotNeed } from './PoolPlan.js';

/** A place (one instance class in one data centre) where instances can be kept or bought. */
export interface Offer {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly slotsPerInstance: number;
  readonly eurosPerHour: Euros;
  /** Price used for comparison, increased for each recent reclaim wave at the place. */
  readonly riskAdjustedEurosPerHour: Euros;
  /** Instances that are kept, plus unanswered starts. */
  readonly presentCount: number;
  /** True if no more instances can be bought for now. */
  readonly closed: boolean;
}

export interface MixRequest {
  readonly offers: readonly Offer[];
  readonly need: SlotNeed;
  /** Fraction of all reclaimable slots that one wave is assumed to take. */
  readonly waveLossFraction: number;
  /** Limits on the number of instances over all data centres. */
  readonly minInstances: number;
  readonly maxInstances: number;
  /** Fraction by which the comparison price of a present instance is reduced. */
  readonly retentionDiscount: number;
}

export interface Mix {
  /** Instances wanted at each offer, in the order of the offers. */
  readonly counts: readonly number[];
  /** Slots missing normally, plus those missing after the planned loss. */
  readonly missingSlots: number;
  readonly comparisonEurosPerHour: Euros;
}

/** Limits the candidates of each kind; a larger range is divided into this many equal steps. */
const MAX_CANDIDATE_STEPS = 24;

/**
 * Avoids a division by zero for a wave that takes all reclaimable slots: no number of them would
 * help.
 */
const MIN_FRACTION_LEFT_BY_WAVE = 0.05;

/** Instances of one offer that have the same comparison price. */
interface PriceTier {
  readonly offer: Offer;
  /** Index of the offer. */
  readonly position: number;
  readonly eurosPerHour: Euros;
  readonly instanceCount: number;
}

/** Returns the present and the additional instances of each offer, lowest price per slot first. */
function listPriceTiers(request: MixRequest): PriceTier[] {
  const tiers = request.offers.flatMap((offer, position) => [
    {
      offer,
      position,
      eurosPerHour: offer.riskAdjustedEurosPerHour * (1 - request.retentionDiscount),
      instanceCount: offer.presentCount,
    },
    {
      offer,
      position,
      eurosPerHour: offer.riskAdjustedEurosPerHour,
      instanceCount: offer.closed ? 0 : Math.max(0, request.maxInstances - offer.presentCount),
    },
  ]);
  return tiers
    .filter((tier) => tier.instanceCount > 0)
    .sort(
      (a, b) =>
        a.eurosPerHour / a.offer.slotsPerInstance - b.eurosPerHour / b.offer.slotsPerInstance ||
        a.position - b.position,
    );
}

/**
 * Adds instances to `counts` in the order of the tiers until `targetSlots` is reached, within the
 * limit per data centre. Returns the slots added.
 */
function addCheapestInstances(
  tiers: readonly PriceTier[],
  counts: number[],
  targetSlots: number,
  maxSlotsPerDataCentre: number,
): number {
  const slotsByDataCentre = new Map<string, number>();
  let totalSlots = 0;
  for (const { offer, position, instanceCount } of tiers) {
    const slotsInDataCentre = slotsByDataCentre.get(offer.dataCentre) ?? 0;
    const fittingCount = Math.floor(
      (maxSlotsPerDataCentre - slotsInDataCentre) / offer.slotsPerInstance,
    );
    const missingCount = Math.ceil((targetSlots - totalSlots) / offer.slotsPerInstance);
    const addedCount = Math.max(0, Math.min(instanceCount, fittingCount, missingCount));
    counts[position] = (counts[position] ?? 0) + addedCount;
    slotsByDataCentre.set(
      offer.dataCentre,
      slotsInDataCentre + addedCount * offer.slotsPerInstance,
    );
    totalSlots += addedCount * offer.slotsPerInstance;
  }
  return totalSlots;
}

/** Counts the slots of a mix, and the most that one planned loss takes of them. */
export function countMixSlots(
  offers: readonly Offer[],
  counts: readonly number[],
  waveLossFraction: number,
): { readonly totalSlots: number; readonly maxLostSlots: number } {
  const slotsByDataCentre = new Map<string, number>();
  let totalSlots = 0;
  let reclaimableSlots = 0;
  offers.forEach((offer, position) => {
    const slots = (counts[position] ?? 0) * offer.slotsPerInstance;
    totalSlots += slots;
    if (!offer.reclaimable) return;
    reclaimableSlots += slots;
    slotsByDataCentre.set(offer.dataCentre, (slotsByDataCentre.get(offer.dataCentre) ?? 0) + slots);
  });
  const maxSlotsOfOneDataCentre = Math.max(0, ...slotsByDataCentre.values());
  return {
    totalSlots,
    maxLostSlots: Math.max(maxSlotsOfOneDataCentre, waveLossFraction * reclaimableSlots),
  };
}

/**
 * Returns the slots missing normally plus those missing after the planned loss. In a pool of one
 * data centre the loss can never be covered; the sum still prefers mixes that are enough normally.
 */
function countMissingSlots(request: MixRequest, counts: readonly number[]): number {
  const { totalSlots, maxLostSlots } = countMixSlots(
    request.offers,
    counts,
    request.waveLossFraction,
  );
  const missingNormally = Math.max(0, request.need.normal - totalSlots);
  const missingAfterLoss = Math.max(0, request.need.afterLoss - (totalSlots - maxLostSlots));
  return missingNormally + missingAfterLoss;
}

function computeComparisonEurosPerHour(request: MixRequest, counts: readonly number[]): Euros {
  return request.offers.reduce((sum, offer, position) => {
    const count = counts[position] ?? 0;
    const keptCount = Math.min(count, offer.presentCount);
    return sum + offer.riskAdjustedEurosPerHour * (count - keptCount * request.retentionDiscount);
  }, 0);
}

function countInstances(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/**
 * Removes instances, most expensive first, while no more slots go missing: filling whole instances
 * may overshoot the need.
 */
function removeUnneededInstances(
  request: MixRequest,
  tiers: readonly PriceTier[],
  counts: number[],
): void {
  const missingBefore = countMissingSlots(request, counts);
  [...tiers]
    .sort((a, b) => b.eurosPerHour - a.eurosPerHour || b.position - a.position)
    .forEach(({ position }) => {
      while ((counts[position] ?? 0) > 0) {
        counts[position] = (counts[position] ?? 0) - 1;
        if (
          countMissingSlots(request, counts) <= missingBefore &&
          countInstances(counts) >= request.minInstances
        )
          continue;
        counts[position] = (counts[position] ?? 0) + 1;
        break;
      }
    });
}

/** Adds the cheapest instances until the pool has its minimum number. */
function raiseToMinInstances(
  request: MixRequest,
  tiers: readonly PriceTier[],
  counts: number[],
): void {
  let missingCount = request.minInstances - countInstances(counts);
  [...tiers]
    .sort((a, b) => a.eurosPerHour - b.eurosPerHour || a.position - b.position)
    .forEach(({ offer, position }) => {
      const maxCount = offer.closed ? offer.presentCount : request.maxInstances;
      const addedCount = Math.max(0, Math.min(missingCount, maxCount - (counts[position] ?? 0)));
      counts[position] = (counts[position] ?? 0) + addedCount;
      missingCount -= addedCount;
    });
}

/** Removes the instances with the fewest slots until the pool has at most its maximum number. */
function lowerToMaxInstances(request: MixRequest, counts: number[]): void {
  let excessCount = countInstances(counts) - request.maxInstances;
  [...request.offers.keys()]
    .sort(
      (a, b) =>
        (request.offers[a]?.slotsPerInstance ?? 0) - (request.offers[b]?.slotsPerInstance ?? 0),
    )
    .forEach((position) => {
      const removedCount = Math.max(0, Math.min(excessCount, counts[position] ?? 0));
      counts[position] = (counts[position] ?? 0) - removedCount;
      excessCount -= removedCount;
    });
}

/**
 * Returns integers from `from` to `to`, about `step` apart, or further if that would take more than
 * `MAX_CANDIDATE_STEPS` steps.
 */
function spaceEvenly(from: number, to: number, step: number): number[] {
  const steps = Math.max(1, Math.min(MAX_CANDIDATE_STEPS, Math.ceil((to - from) / step)));
  return Array.from({ length: steps + 1 }, (_, count) =>
    count === steps ? to : from + Math.round((count * (to - from)) / steps),
  );
}

function findMinSlotsPerInstance(offers: readonly Offer[]): number {
  return Math.max(1, Math.min(...offers.map((offer) => offer.slotsPerInstance)));
}

/**
 * Fills about `onDemandSlots` on-demand slots, then reclaimable ones, at most `maxReclaimableSlots`
 * in a data centre. Then removes instances that are not needed and applies the pool's limits.
 */
function buildMix(
  request: MixRequest,
  tiers: readonly PriceTier[],
  onDemandSlots: number,
  maxReclaimableSlots: number,
): Mix {
  const counts = request.offers.map(() => 0);
  const onDemandTiers = tiers.filter(({ offer }) => !offer.reclaimable);
  const reclaimableTiers = tiers.filter(({ offer }) => offer.reclaimable);
  const filledOnDemandSlots = addCheapestInstances(onDemandTiers, counts, onDemandSlots, Infinity);
  const { normal, afterLoss } = request.need;
  // A wave leaves only a fraction of the reclaimable slots, and that fraction must cover the
  // need.
  const slotsNeededBeforeWave =
    Math.max(0, afterLoss - filledOnDemandSlots) /
    Math.max(1 - request.waveLossFraction, MIN_FRACTION_LEFT_BY_WAVE);
  const targetReclaimableSlots = Math.max(
    afterLoss - filledOnDemandSlots + maxReclaimableSlots,
    slotsNeededBeforeWave,
    normal - filledOnDemandSlots,
  );
  if (maxReclaimableSlots > 0)
    addCheapestInstances(reclaimableTiers, counts, targetReclaimableSlots, maxReclaimableSlots);
  removeUnneededInstances(request, tiers, counts);
  raiseToMinInstances(request, tiers, counts);
  lowerToMaxInstances(request, counts);
  return {
    counts,
    missingSlots: countMissingSlots(request, counts),
    comparisonEurosPerHour: computeComparisonEurosPerHour(request, counts),
  };
}

function isBetter(mix: Mix, best: Mix): boolean {
  if (mix.missingSlots !== best.missingSlots) return mix.missingSlots < best.missingSlots;
  return mix.comparisonEurosPerHour < best.comparisonEurosPerHour - 1e-9;
}

/** Returns the candidate with the fewest missing slots, and among those the cheapest. */
export function chooseMix(request: MixRequest): Mix {
  const tiers = listPriceTiers(request);
  const highestNeed = Math.max(request.need.normal, request.need.afterLoss);
  const onDemandOffers = request.offers.filter((offer) => !offer.reclaimable);
  const reclaimableOffers = request.offers.filter((offer) => offer.reclaimable);
  const onDemandSlotCandidates =
    onDemandOffers.length > 0
      ? spaceEvenly(0, highestNeed, findMinSlotsPerInstance(onDemandOffers))
      : [0];
  const minSlotsPerInstance = findMinSlotsPerInstance(reclaimableOffers);
  const maxSlotsPerInstance = Math.max(
    minSlotsPerInstance,
    ...reclaimableOffers.map((offer) => offer.slotsPerInstance),
  );
  const maxReclaimableSlotCandidates =
    reclaimableOffers.length > 0
      ? [
          0,
          ...spaceEvenly(
            minSlotsPerInstance,
            highestNeed + maxSlotsPerInstance,
            minSlotsPerInstance,
          ),
        ]
      : [0];
  let best = buildMix(request, tiers, 0, 0);
  for (const onDemandSlots of onDemandSlotCandidates) {
    for (const maxReclaimableSlots of maxReclaimableSlotCandidates) {
      const mix = buildMix(request, tiers, onDemandSlots, maxReclaimableSlots);
      if (isBetter(mix, best)) best = mix;
    }
  }
  return best;
}
