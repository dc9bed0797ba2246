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
const MOST_CANDIDATES = 24;

/** Against a wave that takes everything, no number of reclaimable instances helps. */
const LEAST_LEFT = 0.05;

/** Units of one offer at one price. */
interface Segment {
  readonly offer: Offer;
  readonly position: number;
  readonly price: Euros;
  readonly units: number;
}

function toSegments(request: MixRequest): Segment[] {
  const segments = request.offers.flatMap((offer, position) => [
    {
      offer,
      position,
      price: offer.riskAdjustedEurosPerHour * (1 - request.retentionDiscount),
      units: offer.presentCount,
    },
    {
      offer,
      position,
      price: offer.riskAdjustedEurosPerHour,
      units: offer.closed ? 0 : Math.max(0, request.maxInstances - offer.presentCount),
    },
  ]);
  return segments
    .filter((segment) => segment.units > 0)
    .sort(
      (a, b) =>
        a.price / a.offer.slotsPerInstance - b.price / b.offer.slotsPerInstance ||
        a.position - b.position,
    );
}

/** Takes the cheapest units until there are enough slots, at most `bound` in a data centre. */
function fill(
  segments: readonly Segment[],
  counts: number[],
  slots: number,
  bound: number,
): number {
  const taken = new Map<string, number>();
  let total = 0;
  for (const { offer, position, units } of segments) {
    const there = taken.get(offer.dataCentre) ?? 0;
    const fits = Math.floor((bound - there) / offer.slotsPerInstance);
    const lacking = Math.ceil((slots - total) / offer.slotsPerInstance);
    const added = Math.max(0, Math.min(units, fits, lacking));
    counts[position] = (counts[position] ?? 0) + added;
    taken.set(offer.dataCentre, there + added * offer.slotsPerInstance);
    total += added * offer.slotsPerInstance;
  }
  return total;
}

/** Slots in all, and the most that one loss of the planned kind can take. */
export function countMixSlots(
  offers: readonly Offer[],
  counts: readonly number[],
  waveLossFraction: number,
): { readonly totalSlots: number; readonly maxLostSlots: number } {
  const reclaimable = new Map<string, number>();
  let total = 0;
  let allReclaimable = 0;
  offers.forEach((offer, position) => {
    const slots = (counts[position] ?? 0) * offer.slotsPerInstance;
    total += slots;
    if (!offer.reclaimable) return;
    allReclaimable += slots;
    reclaimable.set(offer.dataCentre, (reclaimable.get(offer.dataCentre) ?? 0) + slots);
  });
  const ofOneDataCentre = Math.max(0, ...reclaimable.values());
  return {
    totalSlots: total,
    maxLostSlots: Math.max(ofOneDataCentre, waveLossFraction * allReclaimable),
  };
}

/**
 * Slots lacking now and after the loss, added up: where the loss cannot be covered at all, as in a
 * pool of one data centre, what is lacking now must still decide.
 */
function missingIn(request: MixRequest, counts: readonly number[]): number {
  const { totalSlots: total, maxLostSlots: largestLoss } = countMixSlots(
    request.offers,
    counts,
    request.waveLossFraction,
  );
  const lackingNow = Math.max(0, request.need.normal - total);
  const lackingAfterLoss = Math.max(0, request.need.afterLoss - (total - largestLoss));
  return lackingNow + lackingAfterLoss;
}

function costOf(request: MixRequest, counts: readonly number[]): Euros {
  return request.offers.reduce((sum, offer, position) => {
    const count = counts[position] ?? 0;
    const kept = Math.min(count, offer.presentCount);
    return sum + offer.riskAdjustedEurosPerHour * (count - kept * request.retentionDiscount);
  }, 0);
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Takes away what the mix can do without, dearest first; filling whole instances overshoots. */
function trim(request: MixRequest, segments: readonly Segment[], counts: number[]): void {
  const before = missingIn(request, counts);
  [...segments]
    .sort((a, b) => b.price - a.price || b.position - a.position)
    .forEach(({ position }) => {
      while ((counts[position] ?? 0) > 0) {
        counts[position] = (counts[position] ?? 0) - 1;
        if (missingIn(request, counts) <= before && sumOf(counts) >= request.minInstances) continue;
        counts[position] = (counts[position] ?? 0) + 1;
        break;
      }
    });
}

/** Adds the cheapest instances until the pool has its least size. */
function raiseToLeast(request: MixRequest, segments: readonly Segment[], counts: number[]): void {
  let lacking = request.minInstances - sumOf(counts);
  [...segments]
    .sort((a, b) => a.price - b.price || a.position - b.position)
    .forEach(({ offer, position }) => {
      const mostThere = offer.closed ? offer.presentCount : request.maxInstances;
      const added = Math.max(0, Math.min(lacking, mostThere - (counts[position] ?? 0)));
      counts[position] = (counts[position] ?? 0) + added;
      lacking -= added;
    });
}

/** Takes the smallest instances away until the pool has no more than its most. */
function lowerToMost(request: MixRequest, counts: number[]): void {
  let above = sumOf(counts) - request.maxInstances;
  [...request.offers.keys()]
    .sort(
      (a, b) =>
        (request.offers[a]?.slotsPerInstance ?? 0) - (request.offers[b]?.slotsPerInstance ?? 0),
    )
    .forEach((position) => {
      const removed = Math.max(0, Math.min(above, counts[position] ?? 0));
      counts[position] = (counts[position] ?? 0) - removed;
      above -= removed;
    });
}

function spaced(from: number, to: number, step: number): number[] {
  const steps = Math.max(1, Math.min(MOST_CANDIDATES, Math.ceil((to - from) / step)));
  return Array.from({ length: steps + 1 }, (_, count) =>
    count === steps ? to : from + Math.round((count * (to - from)) / steps),
  );
}

function smallestSlots(offers: readonly Offer[]): number {
  return Math.max(1, Math.min(...offers.map((offer) => offer.slotsPerInstance)));
}

/** A mix with so many on-demand slots and so many reclaimable ones in a data centre at most. */
function buildMix(
  request: MixRequest,
  segments: readonly Segment[],
  onDemandSlots: number,
  bound: number,
): Mix {
  const counts = request.offers.map(() => 0);
  const onDemand = segments.filter(({ offer }) => !offer.reclaimable);
  const reclaimable = segments.filter(({ offer }) => offer.reclaimable);
  const firm = fill(onDemand, counts, onDemandSlots, Infinity);
  const { normal, afterLoss } = request.need;
  // A wave of a share of all leaves the rest: so many are needed for the rest to be enough.
  const underWave =
    Math.max(0, afterLoss - firm) / Math.max(1 - request.waveLossFraction, LEAST_LEFT);
  const lacking = Math.max(afterLoss - firm + bound, underWave, normal - firm);
  if (bound > 0) fill(reclaimable, counts, lacking, bound);
  trim(request, segments, counts);
  raiseToLeast(request, segments, counts);
  lowerToMost(request, counts);
  return {
    counts,
    missingSlots: missingIn(request, counts),
    comparisonEurosPerHour: costOf(request, counts),
  };
}

function isBetter(mix: Mix, best: Mix): boolean {
  if (mix.missingSlots !== best.missingSlots) return mix.missingSlots < best.missingSlots;
  return mix.comparisonEurosPerHour < best.comparisonEurosPerHour - 1e-9;
}

/** The cheapest mix that lacks the fewest slots. */
export function chooseMix(request: MixRequest): Mix {
  const segments = toSegments(request);
  const highest = Math.max(request.need.normal, request.need.afterLoss);
  const firmOffers = request.offers.filter((offer) => !offer.reclaimable);
  const reclaimableOffers = request.offers.filter((offer) => offer.reclaimable);
  const firmAmounts = firmOffers.length > 0 ? spaced(0, highest, smallestSlots(firmOffers)) : [0];
  const step = smallestSlots(reclaimableOffers);
  const largest = Math.max(step, ...reclaimableOffers.map((offer) => offer.slotsPerInstance));
  const bounds = reclaimableOffers.length > 0 ? [0, ...spaced(step, highest + largest, step)] : [0];
  let best = buildMix(request, segments, 0, 0);
  for (const onDemandSlots of firmAmounts) {
    for (const bound of bounds) {
      const mix = buildMix(request, segments, onDemandSlots, bound);
      if (isBetter(mix, best)) best = mix;
    }
  }
  return best;
}
