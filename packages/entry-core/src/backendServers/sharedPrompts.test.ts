/**
 * Long prompts with prefixes that many callers share, at eight entries. Each entry gets only a few
 * requests per second and knows the rest of the work from the work reports of the others.
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
  makeDeadlineFields,
} from '../testing/examples.js';

const CONCURRENCY = 32;
const ENTRIES = 8;
const DURATION_SECONDS = 20;
const REQUESTS_PER_SECOND = 40;

/** A prompt of 4,000 tokens takes 200 ms, and 50 ms once its shared prefix is cached. */
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
  /**
   * Per request, tokens of shared prefixes that an engine prefilled although another had cached
   * them.
   */
  readonly recomputed: number;
}

/** 40 requests a second, each at a random entry and with one of 60 shared prefixes. */
function simulate(seed: number, options: Partial<HarnessOptions>): Outcome {
  const harness = new EntryHarness({
    entries: ENTRIES,
    servers: 6,
    speed,
    routes: [exampleRoute(makeDeadlineFields(500))],
    pool: examplePool(CONCURRENCY),
    reportInterval: 1000,
    ...options,
  });
  const random = xoroshiro128plus(seed);
  const requests = DURATION_SECONDS * REQUESTS_PER_SECOND;
  for (let number = 0; number < requests; number += 1) {
    const topic = uniformInt(random, 0, SHARED_PROMPTS - 1);
    const ownDigest = `${topic}/${number}`;
    const request = exampleRequest(`request-${number}`, {
      promptTokens: PROMPT_TOKENS,
      prefixDigests: [`${topic}/a`, `${topic}/b`, `${topic}/c`, ownDigest],
      prefixTokens: [1000, 2000, 3000, PROMPT_TOKENS],
    });
    const at = uniformInt(random, 0, DURATION_SECONDS * 1000);
    const entry = uniformInt(random, 0, ENTRIES - 1);
    harness.timeline.after(at, () => harness.submitRequest(request, 20, entry));
  }
  harness.timeline.runUntil((DURATION_SECONDS + 10) * 1000);
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

// Without work reports, entries send long prompts to engines that look idle but have just been sent
// others, and have prefixes prefilled again that are cached elsewhere.
test('work reports reduce late answers and repeated prefills of shared prefixes', () => {
  seeds.forEach((seed) => {
    const withReports = simulate(seed, {});
    const withoutReports = simulate(seed, { losesWorkReports: true });
    const results = JSON.stringify({ withReports, withoutReports });
    assert.ok(withReports.recomputed < withoutReports.recomputed * 0.5, results);
    assert.ok(
      withReports.late + withReports.refused < (withoutReports.late + withoutReports.refused) * 0.5,
      results,
    );
    assert.ok(
      withReports.late + withReports.refused <= DURATION_SECONDS * REQUESTS_PER_SECOND * 0.05,
      results,
    );
  });
});
