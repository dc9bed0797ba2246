/** The product's policy and plain baselines under the same arrivals, engines and lags. */
import {
  EntryHarness,
  examplePool,
  exampleRoute,
  makeDeadlineFields,
  makeArrivals,
  type Arrival,
  type CallerOutcome,
  type HarnessOptions,
} from '@hornbeampond/entry-core/testing';
import type { EngineSpeed } from '@hornbeampond/testing';
import { baselines, runBaseline, type Baseline } from './BaselineRun.js';

const SERVERS = 6;
const ENTRIES = 2;
const SPAN_MILLISECONDS = 90_000;
const REST_MILLISECONDS = 60_000;
const SEEDS = [1, 2, 3, 4, 5];
const LOAD_LAG_MILLISECONDS = 5000;
const CACHE_LAG_MILLISECONDS = 2000;
const REPORT_INTERVAL_MILLISECONDS = 500;

const speed: EngineSpeed = {
  concurrency: 16,
  prefillMillisecondsPerToken: 0.2,
  decodeMillisecondsPerToken: 8,
  cachedPrefixes: 400,
};

/** First-token patience by path. */
const patience: Readonly<Record<string, number>> = { '/counter': 1000, '/planner': 8000 };

const routes = Object.entries(patience).map(([pathPrefix, milliseconds]) =>
  exampleRoute({
    name: pathPrefix.slice(1),
    match: { pathPrefix },
    ...makeDeadlineFields(milliseconds),
  }),
);

const scenarios = {
  /** Two large workspaces and three small ones; the rush is above what the engines can do. */
  rush: { perSecond: 20, rushFactor: 2.5, workspaces: { a: 8, b: 8, c: 2, d: 1, e: 1 } },
  /** One workspace sends nearly everything. */
  flood: { perSecond: 20, rushFactor: 3, workspaces: { a: 60, b: 2, c: 1, d: 1, e: 1 } },
} as const;
export type Scenario = keyof typeof scenarios;

/** The product's own policy, whole and with less to go by. */
const products = {
  hornbeampond: {},
  /** Every fifth cache event gets lost, so that all beliefs are dropped every ten seconds. */
  gappyCacheEvents: { losesCacheEvent: (sequence: number) => sequence % 5 === 0 },
  withoutAffinity: { hidePrefixes: true },
} as const satisfies Record<string, Partial<HarnessOptions>>;
type Product = keyof typeof products;

export type Policy = Product | Baseline;
export const policies: readonly Policy[] = [...(Object.keys(products) as Product[]), ...baselines];

function isProduct(policy: Policy): policy is Product {
  return policy in products;
}

/** Figures of one policy in one scenario, over all seeds. */
export interface PolicyFigures {
  readonly scenario: Scenario;
  readonly policy: Policy;
  readonly arrivals: number;
  /** First token within the patience, of all who came. */
  readonly onTimeShare: number;
  /** The same, of the least and the best seed. */
  readonly onTimeShareLeast: number;
  readonly onTimeShareMost: number;
  /** The same, of the callers of small workspaces only. */
  readonly smallOnTimeShare: number;
  readonly refusedShare: number;
  /** Accepted, but first token late. */
  readonly lateShare: number;
  readonly recomputedTokens: number;
  /** Recomputed prompt tokens for each caller served on time. */
  readonly recomputedTokensPerOnTime: number;
}

interface RunResult {
  readonly outcomes: readonly CallerOutcome[];
  readonly recomputedTokens: number;
}

function isOnTime({ request, arrivedAt, firstTokenAt, problem }: CallerOutcome): boolean {
  if (problem !== undefined || firstTokenAt === undefined) return false;
  return firstTokenAt - arrivedAt <= (patience[request.path] ?? 0);
}

function runProduct(arrivals: readonly Arrival[], product: Product): RunResult {
  const harness = new EntryHarness({
    servers: SERVERS,
    entries: ENTRIES,
    speed,
    routes,
    pool: examplePool(speed.concurrency),
    loadReportInterval: LOAD_LAG_MILLISECONDS,
    cacheEventInterval: CACHE_LAG_MILLISECONDS,
    reportInterval: REPORT_INTERVAL_MILLISECONDS,
    ...products[product],
  });
  arrivals.forEach(({ at, request, answerTokens }, number) => {
    harness.timeline.after(at, () =>
      harness.submitRequest(request, answerTokens, number % ENTRIES),
    );
  });
  harness.timeline.runUntil(SPAN_MILLISECONDS + REST_MILLISECONDS);
  const engines = [...harness.engines.values()];
  return {
    outcomes: [...harness.outcomes.values()],
    recomputedTokens: engines.reduce((sum, engine) => sum + engine.recomputedTokens, 0),
  };
}

function runPolicy(policy: Policy, arrivals: readonly Arrival[]): RunResult {
  if (isProduct(policy)) return runProduct(arrivals, policy);
  const options = { baseline: policy, entries: ENTRIES, servers: SERVERS, speed };
  return runBaseline(options, arrivals, SPAN_MILLISECONDS + REST_MILLISECONDS);
}

function shareOf<Item>(items: readonly Item[], is: (item: Item) => boolean): number {
  return items.length === 0 ? 1 : items.filter(is).length / items.length;
}

function measurePolicy(scenario: Scenario, policy: Policy): PolicyFigures {
  const runs = SEEDS.map((seed) => {
    const pattern = { ...scenarios[scenario], seed, span: SPAN_MILLISECONDS };
    return runPolicy(policy, makeArrivals({ ...pattern, paths: Object.keys(patience) }));
  });
  const outcomes = runs.flatMap((run) => run.outcomes);
  const shares = runs.map((run) => shareOf(run.outcomes, isOnTime));
  const refused = ({ problem }: CallerOutcome) => problem !== undefined;
  const small = outcomes.filter(({ request }) => !['a', 'b'].includes(request.workspace));
  const recomputedTokens = runs.reduce((sum, run) => sum + run.recomputedTokens, 0);
  return {
    scenario,
    policy,
    arrivals: outcomes.length,
    onTimeShare: shareOf(outcomes, isOnTime),
    onTimeShareLeast: Math.min(...shares),
    onTimeShareMost: Math.max(...shares),
    smallOnTimeShare: shareOf(small, isOnTime),
    refusedShare: shareOf(outcomes, refused),
    lateShare: shareOf(outcomes, (outcome) => !refused(outcome) && !isOnTime(outcome)),
    recomputedTokens,
    recomputedTokensPerOnTime: recomputedTokens / Math.max(1, outcomes.filter(isOnTime).length),
  };
}

export function comparePolicies(): PolicyFigures[] {
  return (Object.keys(scenarios) as Scenario[]).flatMap((scenario) =>
    policies.map((policy) => measurePolicy(scenario, policy)),
  );
}
