import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { chooseMix, countMixSlots, type MixRequest, type Offer } from './chooseMix.js';

/**
 * Returns a request with a reclaimable offer in each of a, b and c, and an on-demand offer in a
 * (from 'd' in the list below).
 */
function randomRequest(seed: number): MixRequest {
  const generator = xoroshiro128plus(seed);
  const pick = (from: number, to: number) => uniformInt(generator, from, to);
  const offers = ['a', 'b', 'c', 'd'].map((dataCentre, position): Offer => {
    const reclaimable = position < 3;
    const price = (reclaimable ? 100 : 300) + pick(0, 40);
    return {
      dataCentre: reclaimable ? dataCentre : 'a',
      instanceClass: reclaimable ? 'spot' : 'firm',
      reclaimable,
      slotsPerInstance: 4,
      eurosPerHour: price,
      riskAdjustedEurosPerHour: price,
      presentCount: pick(0, 2),
      closed: pick(0, 4) === 0,
    };
  });
  const normal = pick(1, 20);
  const need = { normal, afterLoss: pick(1, normal) };
  return {
    offers,
    need,
    waveLossFraction: pick(0, 3) === 0 ? 0.5 : 0,
    minInstances: 0,
    maxInstances: 12,
    retentionDiscount: 0,
  };
}

function countMissingSlots(request: MixRequest, counts: readonly number[]): number {
  const { totalSlots, maxLostSlots } = countMixSlots(
    request.offers,
    counts,
    request.waveLossFraction,
  );
  const missingAfterLoss = Math.max(0, request.need.afterLoss - (totalSlots - maxLostSlots));
  return Math.max(0, request.need.normal - totalSlots) + missingAfterLoss;
}

/**
 * Returns the lowest comparison price among the mixes with the fewest missing slots, of all mixes
 * with at most 8 instances of each open offer.
 */
function findCheapestByExhaustiveSearch(request: MixRequest): {
  readonly comparisonEurosPerHour: number;
  readonly missingSlots: number;
} {
  const maxCounts = request.offers.map((offer) => (offer.closed ? offer.presentCount : 8));
  let best = { comparisonEurosPerHour: Infinity, missingSlots: Infinity };
  const visit = (counts: readonly number[]): void => {
    if (counts.length < maxCounts.length) {
      const maxCount = maxCounts[counts.length] ?? 0;
      for (let count = 0; count <= maxCount; count += 1) visit([...counts, count]);
      return;
    }
    if (counts.reduce((sum, count) => sum + count, 0) > request.maxInstances) return;
    const missingSlots = countMissingSlots(request, counts);
    const comparisonEurosPerHour = request.offers.reduce(
      (sum, offer, position) => sum + offer.riskAdjustedEurosPerHour * (counts[position] ?? 0),
      0,
    );
    if (
      missingSlots < best.missingSlots ||
      (missingSlots === best.missingSlots && comparisonEurosPerHour < best.comparisonEurosPerHour)
    )
      best = { comparisonEurosPerHour, missingSlots };
  };
  visit([]);
  return best;
}

test('the mix has the fewest missing slots possible and is nearly always the cheapest such mix', () => {
  let moreExpensiveCount = 0;
  for (let seed = 1; seed <= 60; seed += 1) {
    const request = randomRequest(seed);
    const mix = chooseMix(request);
    const best = findCheapestByExhaustiveSearch(request);
    assert.equal(
      mix.missingSlots,
      best.missingSlots,
      `seed ${seed}: more slots are missing than necessary`,
    );
    assert.ok(
      mix.comparisonEurosPerHour <= best.comparisonEurosPerHour * 1.25,
      `seed ${seed}: ${mix.comparisonEurosPerHour} is too expensive`,
    );
    if (mix.comparisonEurosPerHour > best.comparisonEurosPerHour) moreExpensiveCount += 1;
  }
  assert.ok(moreExpensiveCount <= 6, `${moreExpensiveCount} of 60 cost more than the cheapest mix`);
});

test('a present instance is kept unless another place is much cheaper', () => {
  const offer = (dataCentre: string, price: number, kept: number): Offer => ({
    dataCentre,
    instanceClass: 'firm',
    reclaimable: false,
    slotsPerInstance: 4,
    eurosPerHour: price,
    riskAdjustedEurosPerHour: price,
    presentCount: kept,
    closed: false,
  });
  const request = (price: number): MixRequest => ({
    offers: [offer('a', 100, 1), offer('b', price, 0)],
    need: { normal: 4, afterLoss: 4 },
    waveLossFraction: 0,
    minInstances: 1,
    maxInstances: 4,
    retentionDiscount: 0.2,
  });
  assert.deepEqual(chooseMix(request(85)).counts, [1, 0]);
  assert.deepEqual(chooseMix(request(75)).counts, [0, 1]);
});
