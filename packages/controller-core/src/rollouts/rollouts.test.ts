/**
 * Roll-outs of versions that are good, bad at once, late, under load or on one route, decided from
 * simulated answers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Rollout } from '@hornbeampond/schema';
import { decideRollout } from './decideRollout.js';
import type { VersionCounts } from './RolloutLedger.js';

const EXPOSURE_LIMIT = 0.1;
const EXPOSURE_SLACK = 50;
const FIRST_SHARE = 0.075;
const TICK = 250;
/** From an answer until the holder of the duty counts it, and from a step until entries apply it. */
const REPORT_DELAY = 300;
const APPLY_DELAY = 100;
/** How long answers of the old version go on after it gets no more requests. */
const DRAIN = 1500;

interface Version {
  readonly failureShare: number;
  /** It fails only from this time on. */
  readonly failsFrom?: number;
  /** It fails only with at least this share of the requests. */
  readonly failsFromShare?: number;
  readonly failsOnlyOn?: string;
}

interface Outcome {
  readonly phase: Rollout['phase'];
  readonly elapsed: number;
  readonly exposure: number;
  readonly total: number;
}

class Simulation {
  private readonly random: RandomGenerator;

  private readonly counts = new Map<string, VersionCounts>();

  private rollout: Rollout;

  private exposure = 0;

  private total = 0;

  constructor(
    private readonly version: Version,
    private readonly perSecond: number,
    duration: number,
    seed: number,
    private readonly usualFailureShare = 0.02,
  ) {
    this.random = xoroshiro128plus(seed);
    this.rollout = {
      pool: 'drafting',
      version: 'v2',
      startedAt: 0,
      duration,
      phase: 'running',
      share: FIRST_SHARE,
    };
  }

  run(): Outcome {
    const { duration } = this.rollout;
    let appliedShare = this.rollout.share;
    let fullSince = Infinity;
    const pending: { readonly at: number; readonly count: () => void }[] = [];
    let now = 0;
    for (; now < duration && this.rollout.phase === 'running'; now += TICK) {
      this.serve(now, appliedShare, pending);
      while ((pending[0]?.at ?? Infinity) <= now) pending.shift()?.count();
      const step = decideRollout(this.rollout, {
        elapsed: now,
        byRoute: this.counts,
        nextInstances: 10,
        isPreviousIdle: now - fullSince > DRAIN,
      });
      if (step !== undefined) {
        this.rollout = { ...this.rollout, ...step };
        if (step.share === 1 && fullSince === Infinity) fullSince = now + APPLY_DELAY;
      }
      appliedShare = this.rollout.share;
    }
    // All requests until the deadline count, also those after the end.
    this.total += (this.perSecond * (duration - now)) / 1000;
    const { exposure, total } = this;
    return { phase: this.rollout.phase, elapsed: now, exposure, total };
  }

  private serve(
    now: number,
    share: number,
    pending: { readonly at: number; readonly count: () => void }[],
  ): void {
    const requests = Math.round((this.perSecond * TICK) / 1000);
    this.total += requests;
    for (let request = 0; request < requests; request += 1) {
      const route = this.draw() < 0.25 ? 'chat' : 'appraisal';
      const isNext = this.draw() < share;
      if (isNext) this.exposure += 1;
      const isBad = this.draw() < this.failureShare(isNext, route, now, share);
      pending.push({
        at: now + REPORT_DELAY,
        count: () => this.count(route, isNext ? 'next' : 'previous', isBad),
      });
    }
  }

  private failureShare(isNext: boolean, route: string, now: number, share: number): number {
    const { failsFrom = 0, failsFromShare = 0, failsOnlyOn = route, failureShare } = this.version;
    const isFailing =
      isNext && now >= failsFrom && share >= failsFromShare && route === failsOnlyOn;
    return Math.max(this.usualFailureShare, isFailing ? failureShare : 0);
  }

  private count(route: string, side: keyof VersionCounts, isBad: boolean): void {
    const none = { answers: 0, bad: 0 };
    const known = this.counts.get(route) ?? { previous: none, next: none };
    const { answers, bad } = known[side];
    const updated = { answers: answers + 1, bad: bad + (isBad ? 1 : 0) };
    this.counts.set(route, { ...known, [side]: updated });
  }

  private draw(): number {
    return uniformFloat64(this.random);
  }
}

const SEEDS = 40;

function runSeeds(version: Version, perSecond: number, duration: number, usual = 0.02): Outcome[] {
  return Array.from({ length: SEEDS }, (_, seed) =>
    new Simulation(version, perSecond, duration, seed + 1, usual).run(),
  );
}

[
  { perSecond: 30, duration: 12_000 },
  { perSecond: 300, duration: 12_000 },
  { perSecond: 300, duration: 60_000 },
  { perSecond: 100, duration: 5000 },
].forEach(({ perSecond, duration }) => {
  const load = `${perSecond} requests a second within ${duration / 1000} s`;

  test(`a good version is done in time: ${load}`, () => {
    const outcomes = runSeeds({ failureShare: 0 }, perSecond, duration);
    outcomes.forEach(({ phase, elapsed }) => {
      assert.equal(phase, 'done');
      assert.ok(elapsed <= duration * 0.95, `${elapsed}`);
    });
  });

  // Guards against a version that is taken back because all instances of the pool fail now and then.
  test(`a good version is done although both versions fail often: ${load}`, () => {
    const outcomes = runSeeds({ failureShare: 0 }, perSecond, duration, 0.14);
    assert.deepEqual([...new Set(outcomes.map(({ phase }) => phase))], ['done']);
  });

  // Guards against a bad version that many callers are served by.
  test(`a version that fails is taken back with little exposure: ${load}`, () => {
    [0.3, 1].forEach((failureShare) => {
      runSeeds({ failureShare }, perSecond, duration).forEach(({ phase, exposure, total }) => {
        assert.equal(phase, 'rolledBack');
        assert.ok(exposure <= total * EXPOSURE_LIMIT + EXPOSURE_SLACK, `${exposure} of ${total}`);
      });
    });
  });
});

[
  { name: 'after half of the time', version: { failureShare: 0.5, failsFrom: 6000 } },
  { name: 'with a larger share only', version: { failureShare: 0.5, failsFromShare: 0.2 } },
  { name: 'on one route only', version: { failureShare: 0.5, failsOnlyOn: 'chat' } },
].forEach(({ name, version }) => {
  // Guards against a bad version that is judged before it shows.
  test(`a version that fails ${name} is taken back with little exposure`, () => {
    runSeeds(version, 300, 12_000).forEach(({ phase, exposure, total }) => {
      assert.equal(phase, 'rolledBack');
      assert.ok(exposure <= total * EXPOSURE_LIMIT + EXPOSURE_SLACK, `${exposure} of ${total}`);
    });
  });
});
