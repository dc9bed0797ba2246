/**
 * The schedule of a heavy day: the callers of one workspace come at six times their usual rate, to
 * some entries more than to others, while entries are restarted in turn, one entry and one store
 * freeze, and slow entries read messages late.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Allowance, Milliseconds } from '@hornbeampond/schema';
import { AllowanceSimulation, type AllowanceSimulationOptions } from './AllowanceSimulation.js';

/** What a large workspace may spend. */
export const surgeAllowance: Allowance = {
  unit: 'tokens',
  perSecond: 160_000,
  burst: 270_000,
  windowMilliseconds: 8000,
  tolerated: 295_000,
  plainTokens: 200,
};

export const SURGE_LIMIT = 8 * surgeAllowance.perSecond + surgeAllowance.burst;

export const MAX_ACCEPTED_IN_SURGE = SURGE_LIMIT + surgeAllowance.tolerated;

/** Tokens and share of long prompts, classifications and short prompts. */
const PROMPTS = [
  { amount: 11_992, fraction: 0.18 },
  { amount: 2368, fraction: 0.54 },
  { amount: 826, fraction: 0.28 },
] as const;

const USUAL_TOKENS_PER_SECOND = 100_000;

const SURGE_FACTOR = 6;

export const SURGE_FROM: Milliseconds = 14_000;

const SURGE_UNTIL: Milliseconds = 34_000;

const END: Milliseconds = 44_000;

/** Stores and entries have started by then. */
const CALLERS_FROM: Milliseconds = 9000;

const STORE_COUNT = 8;

export class SurgeSchedule {
  readonly simulation: AllowanceSimulation;

  private readonly random;

  /** Cumulative share of the callers by entry. */
  private readonly shares: number[] = [];

  constructor(
    private readonly entryCount: number,
    seed: number,
    options: Partial<AllowanceSimulationOptions> = {},
  ) {
    this.random = xoroshiro128plus(seed);
    const weights = Array.from({ length: entryCount }, () => 24 + 251 * this.draw() ** 2);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    weights.forEach((weight) => this.shares.push((this.shares.at(-1) ?? 0) + weight / total));
    // One entry in ten waits for up to 0.44 s before it reads a message.
    const slowness = weights.map(() => (this.draw() < 0.1 ? 440 : 10));
    this.simulation = new AllowanceSimulation(entryCount, surgeAllowance, {
      storeCount: STORE_COUNT,
      delay: () => 1 + Math.floor(this.draw() * 4),
      holdTime: (index) => Math.min(600, 250 + 2 * (slowness[index] ?? 0)),
      entryDelay: (index) => this.draw() * (slowness[index] ?? 0),
      ...options,
    });
  }

  /** @param onStep - Called after each millisecond with callers. */
  run(onStep: (now: Milliseconds) => void = () => {}): this {
    const { simulation } = this;
    simulation.advance(CALLERS_FROM);
    const frozenEntryAt = SURGE_FROM + Math.floor(this.draw() * 8000);
    const frozenStoreAt = SURGE_FROM + Math.floor(this.draw() * 8000);
    for (; simulation.now < END; simulation.advance(1)) {
      const { now } = simulation;
      if (now === frozenEntryAt) simulation.freeze(this.drawEntry(), 3000);
      if (now === frozenStoreAt) simulation.freezeStore(now % STORE_COUNT, 6000);
      if (now >= SURGE_FROM && now % 1000 === 0)
        simulation.kill((now / 1000) % this.entryCount, 600);
      this.sendRequests(now);
      onStep(now);
    }
    return this;
  }

  private sendRequests(now: Milliseconds): void {
    const isSurge = now >= SURGE_FROM && now < SURGE_UNTIL;
    const rate = USUAL_TOKENS_PER_SECOND * (isSurge ? SURGE_FACTOR : 1);
    const mean = PROMPTS.reduce((sum, { amount, fraction }) => sum + amount * fraction, 0);
    for (let rest = rate / mean / 1000; rest > 0; rest -= 1) {
      if (this.draw() < rest) this.simulation.trySpend(this.drawEntry(), this.drawAmount());
    }
  }

  private drawAmount(): number {
    const drawn = this.draw();
    if (drawn < PROMPTS[0].fraction) return PROMPTS[0].amount;
    return drawn < PROMPTS[0].fraction + PROMPTS[1].fraction
      ? PROMPTS[1].amount
      : PROMPTS[2].amount;
  }

  private drawEntry(): number {
    const drawn = this.draw();
    return this.shares.findIndex((share) => drawn < share);
  }

  private draw(): number {
    return uniformFloat64(this.random);
  }
}
