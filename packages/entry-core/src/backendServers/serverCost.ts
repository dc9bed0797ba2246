/**
 * The cost of sending a request to a backend server: the predicted delay of the request and the
 * delay that it causes others.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import type { AffinityTarget } from './affinityTarget.js';
import type { BackendServerState } from './BackendServerState.js';
import { currentLimit } from './BalancingState.js';
import { estimateInProgress } from './estimateInProgress.js';
import { nextTokenDueAt } from './nextTokenDueAt.js';
import type { PoolState } from './PoolState.js';
import { areSpeedsKnown, firstTokenTimeFactor, slotTimeFactor } from './timeFactors.js';
import { predictFirstTokenDelay, estimateUncachedTokens } from './predictFirstTokenDelay.js';

/** How much longer an answer takes in a full batch than alone, as a fraction of its duration. */
const FULL_BATCH_EXTRA_FRACTION_OF_SERVICE_TIME = 0.2;

/** A request whose first token is predicted within this fraction of its time left is early. */
const EARLY_FRACTION_OF_TIME_LEFT = 0.25;

/** True if no other attempt may follow the next one. */
function isLastAttempt({ attemptsStarted, route }: RequestState): boolean {
  return attemptsStarted + 1 >= (route.mostAttempts ?? Infinity);
}

export interface ScoredServer {
  readonly server: BackendServerState;
  readonly firstTokenDelay: Milliseconds;
  /**
   * Prefill time, by which requests that arrive later are delayed. At the affinity target it is
   * reduced by what later requests with the same prefix save.
   */
  readonly prefillCost: Milliseconds;
  /**
   * True if the first token would be late. Only set where the speeds of servers are known: elsewhere
   * a prediction is no better than the cost that it is part of.
   */
  readonly isLate: boolean;
  /** True if the server may refuse the request, and it could not be tried elsewhere afterwards. */
  readonly isRisky: boolean;
  /**
   * The lowest cost wins: the delay of this request and the delay that it causes others, or with
   * `spreadEvenly` the utilization of the server.
   */
  readonly cost: number;
}

/**
 * True if one is the better choice: it is less risky or, if that is equal, in time or, if that is
 * equal too, has the lower cost.
 */
export function isBetter(one: ScoredServer, other: ScoredServer): boolean {
  if (one.isRisky !== other.isRisky) return other.isRisky;
  if (one.isLate !== other.isLate) return other.isLate;
  return one.cost < other.cost;
}

/** What the cost of a server for one request is computed from. */
export interface CostInputs {
  readonly state: EntryState;
  readonly pool: PoolState;
  readonly accepted: RequestState;
  readonly now: MonotonicMilliseconds;
  readonly affinityTarget: AffinityTarget | undefined;
  readonly spreadEvenly: boolean;
}

/** Requests in progress as a fraction of what the server can do: its slots, weighted by its speed. */
function computeUtilization({ state, now }: CostInputs, server: BackendServerState): number {
  const utilization = estimateInProgress(state, server) / currentLimit(server.balancing, now);
  return utilization * slotTimeFactor(state, server, now);
}

/**
 * Delay that this request causes others in the same batch. Without it, all new conversations of a
 * workspace would follow its cached system prompt to one server while others are idle.
 */
function estimateBatchCost(inputs: CostInputs, server: BackendServerState): Milliseconds {
  const serviceTime = inputs.pool.estimateBusyServiceTime(inputs.accepted.route.name);
  return (
    serviceTime * computeUtilization(inputs, server) * FULL_BATCH_EXTRA_FRACTION_OF_SERVICE_TIME
  );
}

function estimatePrefillCost(
  { pool, accepted, now, affinityTarget }: CostInputs,
  server: BackendServerState,
): Milliseconds {
  const uncachedTokens = estimateUncachedTokens(pool, server, accepted.request, now);
  const sharedTokens = affinityTarget?.server === server ? affinityTarget.sharedTokens : 0;
  return pool.firstTokenRegression.predictMarginalDelay(uncachedTokens - sharedTokens);
}

/**
 * What the delay of the request itself counts. A request that is early at the server gains nothing
 * from a faster one, so its own work counts as on a mean server: it goes where the queue is shortest
 * and leaves the fast servers to the requests that need them.
 */
function weighDelay(
  { state, pool, accepted, now }: CostInputs,
  server: BackendServerState,
  firstTokenDelay: Milliseconds,
): Milliseconds {
  const timeLeft = nextTokenDueAt(accepted) - now;
  if (firstTokenDelay > timeLeft * EARLY_FRACTION_OF_TIME_LEFT) return firstTokenDelay;
  const ownTokens = estimateUncachedTokens(pool, server, accepted.request, now);
  const ownDelay = pool.firstTokenRegression.predict(ownTokens);
  return firstTokenDelay - ownDelay * (firstTokenTimeFactor(state, server, now) - 1);
}

export function scoreServer(inputs: CostInputs, server: BackendServerState): ScoredServer {
  const { state, pool, accepted, now, spreadEvenly } = inputs;
  const firstTokenDelay = predictFirstTokenDelay(state, pool, server, accepted);
  const prefillCost = estimatePrefillCost(inputs, server);
  const areFactorsKnown = areSpeedsKnown(state, server, now);
  const ownCost = areFactorsKnown ? weighDelay(inputs, server, firstTokenDelay) : firstTokenDelay;
  const cost = spreadEvenly
    ? computeUtilization(inputs, server)
    : ownCost + prefillCost + estimateBatchCost(inputs, server);
  const isLate = areFactorsKnown && firstTokenDelay > nextTokenDueAt(accepted) - now;
  const { instance } = server.platformInstance;
  const isRisky = state.rests.isUnproven(instance) && isLastAttempt(accepted);
  return { server, firstTokenDelay, prefillCost, isLate, isRisky, cost };
}
