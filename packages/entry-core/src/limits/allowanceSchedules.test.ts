/**
 * Random schedules of an allowance that several entries hold together: floods, entries that are
 * killed, a loss of power of all of them, reports that are lost and late, an outage of
 * all stores, and entries that are cut off. What is let through in any
 * window must stay within limit and tolerance; a ledger with a part of it taken out must not.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Allowance } from '@hornbeampond/schema';
import { AllowanceLimiter } from './AllowanceLimiter.js';
import {
  AllowanceSimulation,
  type AllowanceSimulationOptions,
} from './testing/AllowanceSimulation.js';

const allowance: Allowance = {
  unit: 'tokens',
  perSecond: 1000,
  burst: 1000,
  windowMilliseconds: 8000,
  tolerated: 2500,
  plainTokens: 0,
};

const ACCEPTED = 9000 + allowance.tolerated;

const SCHEDULES = 100;

/** For so long all stores are down, and nothing that entries tell reaches any other. */
const OUTAGE_MILLISECONDS = 2600;

/** Beside single kills and an outage of the stores. */
type Fault = 'partitions' | 'powerLoss';

/** Plays one schedule and returns the most that was let through in a window. */
function play(seed: number, fault: Fault, parts: Partial<AllowanceSimulationOptions> = {}): number {
  const random = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(random);
  const count = 2 + Math.floor(draw() * 8);
  const flood = 1 + draw() * 7;
  // A lost packet is sent again after a while.
  const lossy = draw() < 0.5 ? 0.04 : 0;
  const delay = () => (draw() < lossy ? 200 + 300 * draw() : 1 + Math.floor(draw() * 20));
  const outageFrom = 12_000 + 6000 * draw();
  const powerLossAt = 1400 + Math.floor(draw() * 1500);
  let now = 0;
  const isOutage = () => now >= outageFrom && now < outageFrom + OUTAGE_MILLISECONDS;
  const entries = new AllowanceSimulation(count, allowance, { delay, isOutage, ...parts });
  entries.advance(9000);
  for (let step = 0; step < 3000; step += 1) {
    entries.advance(10);
    now = entries.now;
    if (fault === 'powerLoss' && step === powerLossAt) entries.losePower(1000);
    if (draw() < flood * 0.05) entries.trySpend(Math.floor(draw() * count), 40 + 400 * draw() ** 4);
    if (draw() < 0.0015) entries.kill(Math.floor(draw() * count), 500 + 2000 * draw());
    if (fault === 'partitions' && draw() < 0.002) {
      entries.setPartition(Math.floor(draw() * count), draw() < 0.6 ? 0 : 1);
    }
  }
  return entries.maxInWindow();
}

const faults: readonly Fault[] = ['partitions', 'powerLoss'];

faults.forEach((fault) => {
  test(`no schedule with ${fault} lets more through than limit and tolerance`, () => {
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      const most = play(seed, fault);
      assert.ok(most <= ACCEPTED, `seed ${seed}: ${most} of ${ACCEPTED}`);
    }
  });
});

function isCaught(parts: Partial<AllowanceSimulationOptions>): boolean {
  const seeds = Array.from({ length: SCHEDULES }, (_, index) => index + 1);
  return seeds.some((seed) => faults.some((fault) => play(seed, fault, parts) > ACCEPTED));
}

/** Lets all through that the known spending allows, also where nobody hears of it. */
class WithoutParts extends AllowanceLimiter {
  override check(...question: Parameters<AllowanceLimiter['check']>) {
    const asked = super.check(...question);
    const isPart = asked.type === 'exceeded' && asked.facts.bound === 'part';
    return isPart ? ({ type: 'allowed' } as const) : asked;
  }
}

/** Tells nothing between two reports. */
class WithoutTelling extends AllowanceLimiter {
  override spend(...spending: Parameters<AllowanceLimiter['spend']>) {
    super.spend(...spending);
    return false;
  }
}

/** Leaves nothing to peers that have fallen silent. */
class WithoutShares extends AllowanceLimiter {
  protected override reachableFraction() {
    return 1;
  }
}

test('mutation: nothing is held back while nobody can be told', () => {
  assert.ok(isCaught({ makeLimiter: () => new WithoutParts() }));
});

test('mutation: stores keep nothing over a loss of power', () => {
  assert.ok(isCaught({ isPersisted: false }));
});

test('mutation: nothing is told between two reports', () => {
  assert.ok(isCaught({ makeLimiter: () => new WithoutTelling() }));
});

test('mutation: both sides of a partition spend the whole', () => {
  assert.ok(isCaught({ makeLimiter: () => new WithoutShares() }));
});
