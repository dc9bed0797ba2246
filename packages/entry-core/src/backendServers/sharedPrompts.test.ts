/**
 * Long prompts with parts that many callers share, at more entries than any one of them can see: each
 * entry has a few requests a second, and learns of the engines' work only what entries tell each other.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineSpeed } from '@hornbeampond/testing';
import { EntryHarness, type HarnessOptions } from '../testing/EntryHarness.js';
import {
  examplePool,
  exampleRequest,
  exampleRoute,
  firstTokenWithin,
} from '../testing/examples.js';

const CONCURRENCY = 32;
const ENTRIES = 8;
const SECONDS = 20;
const REQUESTS_PER_SECOND = 40;

/** A prompt of 4,000 tokens takes 200 ms, and 50 ms once its shared part is cached. */
const speed: EngineSpeed = {
  concurrency: CONCURRENCY,
  prefillMillisecondsPerToken: 0.05,
  decodeMillisecondsPerToken: 2,
  cachedPrefixes: 1000,
};

const PROMPT_TOKENS = 4000;
const SHARED_PROMPTS = 60;

interface Outcome {
  readonly late: number;
  readonly refused: number;
  /** Tokens of shared parts that engines computed although another had them, by request. */
  readonly recomputed: number;
}

/** Callers ask 40 times a second about one of 60 things, each at an entry of its own. */
function simulate(seed: number, options: Partial<HarnessOptions>): Outcome {
  const harness = new EntryHarness({
    entries: ENTRIES,
    servers: 6,
    speed,
    routes: [exampleRoute(firstTokenWithin(500))],
    pool: examplePool(CONCURRENCY),
    reportInterval: 1000,
    ...options,
  });
  const random = xoroshiro128plus(seed);
  const requests = SECONDS * REQUESTS_PER_SECOND;
  for (let number = 0; number < requests; number += 1) {
    const topic = uniformInt(random, 0, SHARED_PROMPTS - 1);
    const ownDigest = `${topic}/${number}`;
    const request = exampleRequest(`request-${number}`, {
      promptTokens: PROMPT_TOKENS,
      prefixDigests: [`${topic}/a`, `${topic}/b`, `${topic}/c`, ownDigest],
      prefixTokens: [1000, 2000, 3000, PROMPT_TOKENS],
    });
    const at = uniformInt(random, 0, SECONDS * 1000);
    const entry = uniformInt(random, 0, ENTRIES - 1);
    harness.timeline.after(at, () => harness.submitRequest(request, 20, entry));
  }
  harness.timeline.runUntil((SECONDS + 10) * 1000);
  const outcomes = [...harness.outcomes.values()];
  const recomputed = [...harness.engines.values()].reduce(
    (sum, engine) => sum + engine.recomputedTokens,
    0,
  );
  return {
    late: outcomes.filter(({ firstTokenAt = 0, arrivedAt }) => firstTokenAt - arrivedAt > 500)
      .length,
    refused: outcomes.filter(({ problem }) => problem !== undefined).length,
    recomputed: recomputed / requests,
  };
}

const seeds = [1, 2, 3];

// Each entry takes the engines for idle that others have just sent long prompts to, and has prompts
// computed anew that are in the cache of an engine. Callers get their first token late.
test('what entries tell each other keeps long prompts apart and shared parts in one place', () => {
  seeds.forEach((seed) => {
    const withReports = simulate(seed, {});
    const withoutReports = simulate(seed, { losesWorkReports: true });
    const shown = JSON.stringify({ told: withReports, untold: withoutReports });
    assert.ok(withReports.recomputed < withoutReports.recomputed * 0.5, shown);
    assert.ok(
      withReports.late + withReports.refused < (withoutReports.late + withoutReports.refused) * 0.5,
      shown,
    );
    assert.ok(
      withReports.late + withReports.refused <= SECONDS * REQUESTS_PER_SECOND * 0.05,
      shown,
    );
  });
});
