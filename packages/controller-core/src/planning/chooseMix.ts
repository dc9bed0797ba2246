/**
 * Chooses the cheapest mix of data centres, classes, reclaimable and on-demand instances that
 * meets the deadline even right after the loss of any one data centre's reclaimable instances, or
 * of a wave as large as one seen lately.
 *
 * The search tries amounts of on-demand capacity and bounds on the reclaimable capacity in any
 * one data centre; for each pair the cheapest places are filled in order of price a slot. It is
 * deterministic, so that all controllers with the same figures find the same mix.
 */
import type { Euros } from '@hornbeampond/schema';
import type { SlotNeed } from './PoolPlan.js';

/** A data centre and class that instances may be kept or bought at. */
export interface Offer {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly slotsPerInstance: number;
  readonly eurosPerHour: Euros;
  /** Price that it is compared by; higher than what is paid where waves were seen. */
  readonly riskAdjustedEurosPerHour: Euros;
  /** Instances that are there. */
  readonly presentCount: number;
  /** True if no more can be bought for now. */
  readonly closed: boolean;
}

export interface MixRequest {
  readonly offers: readonly Offer[];
  readonly need: SlotNeed;
  /** Share of all reclaimable slots that one wave may take. */
  readonly waveLossFraction: number;
  /** Fewest and most instances over all data centres. */
  readonly minInstances: number;
  readonly maxInstances: number;
  /** An instance that is there is compared at a price lower by this share. */
  readonly retentionDiscount: number;
}

export interface Mix {
  /** Instances wanted by offer, in the order of the offers. */
  readonly counts: readonly number[];
  readonly missingSlots: number;
  readonly comparisonEurosPerHour: Euros;
}

/** At most this many amounts are tried of each kind; above it, they are spaced evenly. */
const MAX_CANDIDATE_STEPS = 24;

/** Against a wave that takes everything, no number of reclaimable instances helps. */
const MIN_FRACTION_LEFT_BY_WAVE = 0.05;

/** Units of one offer at one price. */
interface PriceTier {
  readonly offer: Offer;
  readonly position: number;
  readonly eurosPerHour: Euros;
  readonly instanceCount: number;
}

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

/** Takes the cheapest units until there are enough slots, at most `bound` in a data centre. */
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

/** Slots in all, and the most that one loss of the planned kind can take. */
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
 * Slots lacking now and after the loss, added up: where the loss cannot be covered at all, as in a
 * pool of one data centre, what is lacking now must still decide.
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

/** Takes away what the mix can do without, dearest first; filling whole instances overshoots. */
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

/** Adds the cheapest instances until the pool has its least size. */
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

/** Takes the smallest instances away until the pool has no more than its most. */
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

function spaceEvenly(from: number, to: number, step: number): number[] {
  const steps = Math.max(1, Math.min(MAX_CANDIDATE_STEPS, Math.ceil((to - from) / step)));
  return Array.from({ length: steps + 1 }, (_, count) =>
    count === steps ? to : from + Math.round((count * (to - from)) / steps),
  );
}

function findMinSlotsPerInstance(offers: readonly Offer[]): number {
  return Math.max(1, Math.min(...offers.map((offer) => offer.slotsPerInstance)));
}

/** A mix with so many on-demand slots and so many reclaimable ones in a data centre at most. */
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
  // A wave of a share of all leaves the rest: so many are needed for the rest to be enough.
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

/** The cheapest mix that lacks the fewest slots. */
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
