/**
 * Chooses the backend server with the lowest cost for an attempt. It compares the affinity target,
 * the servers estimated to have cached the longest prefix of the prompt, and all servers of a small
 * group or a few random ones of a large group. Two random choices keep the load even, also when
 * entries choose by the same old load reports. Another data centre is preferred if the local one
 * has no candidate or would be late, or if it saves more than the transfer costs.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { findExcludedInstances } from '../attempts/findExcludedInstances.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { chooseVersion, type VersionChoice } from '../rollouts/chooseVersion.js';
import { isWithinRateLimit } from '../statements/rateAllowance.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import { hasCapacity } from './hasCapacity.js';
import type { CandidateGroup, PoolState } from './PoolState.js';
import { getPoolState } from './getPoolState.js';
import { predictFirstTokenDelay, estimateUncachedTokens } from './predictFirstTokenDelay.js';
import { currentLimit } from './BalancingState.js';

/** Larger groups are sampled. */
const MAX_FULL_SCAN_SERVERS = 8;
const RANDOM_SAMPLES = 2;
/** Drawn one at a time until a server with capacity is found. */
const MAX_EXTRA_SAMPLES = 14;

/**
 * What a remote server has to save to be preferred. Covers the round trip, the cost of traffic
 * between data centres and the risk of a network partition. An engine takes about 70 ms to compute
 * five thousand cached tokens again.
 */
const MIN_REMOTE_SAVING_MILLISECONDS: Milliseconds = 30;

/**
 * A local server counts as slow if its predicted first token takes more than this fraction of the
 * remaining time. Below it a caller gains little from another data centre.
 */
const SLOW_FRACTION_OF_REMAINING_TIME = 0.25;

/** How much longer an answer takes in a full batch than alone, as a fraction of its duration. */
const FULL_BATCH_EXTRA_FRACTION_OF_SERVICE_TIME = 0.2;

/** When the next token of the request is due. */
export function nextTokenDueAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, interruptedAt, maxPause } = accepted;
  if (firstTokenAt === undefined) {
    return accepted.isLate === true ? accepted.lateFirstTokenDueAt : accepted.firstTokenDueAt;
  }
  const pauseEndsAt = (interruptedAt ?? firstTokenAt) + maxPause;
  return Math.min(accepted.wholeAnswerDueAt, pauseEndsAt);
}

/** Until when the request is served, if need be late. */
function lastServedAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, lateFirstTokenDueAt } = accepted;
  const dueAt = nextTokenDueAt(accepted);
  return firstTokenAt === undefined ? Math.max(dueAt, lateFirstTokenDueAt) : dueAt;
}

/** True if no other attempt may follow the next one. */
function isLastAttempt({ attemptsStarted, route }: RequestState): boolean {
  return attemptsStarted + 1 >= (route.mostAttempts ?? Infinity);
}

interface ScoredServer {
  readonly server: BackendServerState;
  readonly firstTokenDelay: Milliseconds;
  /**
   * Prefill time, by which requests that arrive later are delayed. At the affinity target it is
   * reduced by what later requests with the same prefix save.
   */
  readonly prefillCost: Milliseconds;
  /** True if the server may refuse the request, and it could not be tried elsewhere afterwards. */
  readonly isRisky: boolean;
  /**
   * The lowest cost wins: the delay of this request and the delay that it causes others, or with
   * `spreadEvenly` the utilization of the server.
   */
  readonly cost: number;
}

/** True if one is the better choice: it is less risky or, if that is equal, has the lower cost. */
function isBetter(one: ScoredServer, other: ScoredServer): boolean {
  return one.isRisky === other.isRisky ? one.cost < other.cost : other.isRisky;
}

/** The server that is to prefill and cache a prefix shared by several requests. */
interface AffinityTarget {
  readonly server: BackendServerState;
  /** Tokens of the shared prefix. */
  readonly sharedTokens: number;
}

/**
 * The affinity target of the shared prefix, which is all but the last part of the prompt. Undefined
 * if some server is estimated to have cached it already.
 */
function findAffinityTarget(
  pool: PoolState,
  { request }: RequestState,
  now: MonotonicMilliseconds,
): AffinityTarget | undefined {
  const { prefixDigests, prefixTokens } = request;
  const digest = prefixDigests.at(-2);
  const sharedTokens = prefixTokens?.at(-2);
  if (digest === undefined || sharedTokens === undefined) return undefined;
  if (pool.prefixCacheIndex.isCachedAnywhere(digest, now)) return undefined;
  const server = pool.prefixHashRing.findServer(digest);
  return server === undefined ? undefined : { server, sharedTokens };
}

/** One search among the servers of a pool. */
class ServerSearch {
  best: ScoredServer | undefined;

  private readonly considered = new Set<BackendServerState>();

  private readonly version: VersionChoice;

  private readonly excluded: ReadonlySet<string>;

  constructor(
    private readonly state: EntryState,
    private readonly pool: PoolState,
    private readonly accepted: RequestState,
    private readonly now: MonotonicMilliseconds,
    private readonly affinityTarget: AffinityTarget | undefined,
    private readonly spreadEvenly: boolean,
  ) {
    this.version = chooseVersion(state, accepted);
    this.excluded = findExcludedInstances(state, accepted, now, now, this.version);
  }

  consider(server: BackendServerState | undefined): void {
    if (server === undefined || this.considered.has(server)) return;
    this.considered.add(server);
    const { instance } = server.platformInstance;
    if (this.accepted.triedInstances.has(instance) || this.excluded.has(instance)) return;
    if (!acceptsNewWork(server) || !hasCapacity(this.state, this.pool, server, this.accepted))
      return;
    const firstTokenDelay = predictFirstTokenDelay(this.state, this.pool, server, this.accepted);
    const prefillCost = this.estimatePrefillCost(server);
    const cost = this.spreadEvenly
      ? this.computeUtilization(server)
      : firstTokenDelay + prefillCost + this.estimateBatchCost(server);
    const isRisky = this.state.rests.isUnproven(instance) && isLastAttempt(this.accepted);
    const scored = { server, firstTokenDelay, prefillCost, isRisky, cost };
    if (this.best === undefined || isBetter(scored, this.best)) this.best = scored;
  }

  /**
   * Delay that this request causes others in the same batch. Without it, all new conversations of a
   * workspace would follow its cached system prompt to one server while others are idle.
   */
  private estimateBatchCost(server: BackendServerState): Milliseconds {
    const serviceTime = this.pool.estimateBusyServiceTime(this.accepted.route.name);
    return (
      serviceTime * this.computeUtilization(server) * FULL_BATCH_EXTRA_FRACTION_OF_SERVICE_TIME
    );
  }

  private estimatePrefillCost(server: BackendServerState): Milliseconds {
    const uncachedTokens = estimateUncachedTokens(
      this.pool,
      server,
      this.accepted.request,
      this.now,
    );
    const sharedTokens =
      this.affinityTarget?.server === server ? this.affinityTarget.sharedTokens : 0;
    return this.pool.firstTokenRegression.predictMarginalDelay(uncachedTokens - sharedTokens);
  }

  considerPrefixHolders(group: CandidateGroup): void {
    if (this.affinityTarget !== undefined && group.hasCandidate(this.affinityTarget.server))
      this.consider(this.affinityTarget.server);
    for (const { server } of this.pool.prefixCacheIndex.findHolders(
      this.accepted.request,
      this.now,
    )) {
      if (group.hasCandidate(server)) this.consider(server);
    }
  }

  considerGroup(group: CandidateGroup): void {
    const { canaries } = this.version;
    if (canaries !== undefined) {
      // Random samples of a large group would miss them.
      this.considerInstances(group, canaries);
      return;
    }
    if (group.candidates.length <= MAX_FULL_SCAN_SERVERS) {
      for (const server of [...group.candidates]) this.consider(server);
      return;
    }
    for (let sample = 0; sample < RANDOM_SAMPLES; sample += 1) this.considerRandom(group);
    for (let extra = 0; extra < MAX_EXTRA_SAMPLES && this.best === undefined; extra += 1) {
      this.considerRandom(group);
    }
  }

  private considerInstances(group: CandidateGroup, instances: ReadonlySet<string>): void {
    instances.forEach((instance) => {
      const server = this.state.backendServers.get(instance);
      if (server !== undefined && group.hasCandidate(server)) this.consider(server);
    });
  }

  private considerRandom(group: CandidateGroup): void {
    if (group.candidates.length === 0) return;
    this.consider(
      group.getCandidateOrRemove(uniformInt(this.state.random, 0, group.candidates.length - 1)),
    );
  }

  private computeUtilization(server: BackendServerState): number {
    return estimateInProgress(this.state, server) / currentLimit(server.balancing, this.now);
  }
}

export interface ChoiceOptions {
  /** `remote`: only in other data centres. */
  readonly where?: 'nearest' | 'remote';
  /**
   * A server that has just gained capacity and is always considered: samples of a large pool may
   * miss it.
   */
  readonly freedServer?: BackendServerState | undefined;
  /**
   * Prefers the server with the lowest utilization, for streams that are all migrated at one
   * moment. The predicted delays do not include the other streams, so all would go to the fastest
   * server.
   */
  readonly spreadEvenly?: boolean;
}

/** The affinity target is the same for every group that is searched, so it is looked up once. */
interface SearchOptions extends ChoiceOptions {
  readonly affinityTarget: AffinityTarget | undefined;
}

function search(
  state: EntryState,
  accepted: RequestState,
  group: CandidateGroup,
  { freedServer, affinityTarget, spreadEvenly = false }: SearchOptions,
): ScoredServer | undefined {
  const { now } = state.clocks;
  const pool = getPoolState(state, accepted.pool.name);
  const serverSearch = new ServerSearch(state, pool, accepted, now, affinityTarget, spreadEvenly);
  if (freedServer !== undefined && group.hasCandidate(freedServer))
    serverSearch.consider(freedServer);
  serverSearch.considerPrefixHolders(group);
  serverSearch.considerGroup(group);
  return serverSearch.best;
}

/**
 * True if the remote server is in time and the local one is not, or if it saves enough because it
 * has cached more of the prompt or the local one is slow.
 */
function isRemoteBetter(
  bestLocal: ScoredServer,
  bestRemote: ScoredServer,
  remainingTime: Milliseconds,
): boolean {
  if (bestLocal.firstTokenDelay > remainingTime) return bestRemote.firstTokenDelay <= remainingTime;
  const isSlow = bestLocal.firstTokenDelay > remainingTime * SLOW_FRACTION_OF_REMAINING_TIME;
  const isCached = bestRemote.prefillCost < bestLocal.prefillCost;
  if (!isSlow && !isCached) return false;
  const savedTime =
    bestLocal.firstTokenDelay +
    bestLocal.prefillCost -
    bestRemote.firstTokenDelay -
    bestRemote.prefillCost;
  return savedTime > MIN_REMOTE_SAVING_MILLISECONDS;
}

/**
 * The backend server with capacity that has the lowest cost, or undefined if none has capacity now.
 * Remote servers are not searched while local ones are only at capacity: whether the request waits
 * or goes to another data centre is decided in admission.
 */
export function chooseBackendServer(
  state: EntryState,
  accepted: RequestState,
  options: ChoiceOptions = {},
): BackendServerState | undefined {
  const pool = getPoolState(state, accepted.pool.name);
  const { local, remote } = pool;
  const searchOptions = {
    ...options,
    affinityTarget: findAffinityTarget(pool, accepted, state.clocks.now),
  };
  if (options.where === 'remote') return search(state, accepted, remote, searchOptions)?.server;
  const bestLocal = search(state, accepted, local, searchOptions);
  if (bestLocal === undefined && hasUntriedServerIn(state, local, accepted)) return undefined;
  const bestRemote = search(state, accepted, remote, searchOptions);
  if (bestLocal === undefined || bestRemote === undefined) return (bestLocal ?? bestRemote)?.server;
  if (bestLocal.isRisky !== bestRemote.isRisky) {
    return (bestLocal.isRisky ? bestRemote : bestLocal).server;
  }
  const remainingTime = nextTokenDueAt(accepted) - state.clocks.now;
  return (isRemoteBetter(bestLocal, bestRemote, remainingTime) ? bestRemote : bestLocal).server;
}

function hasUntriedServerIn(
  state: EntryState,
  group: CandidateGroup,
  accepted: RequestState,
): boolean {
  const isEligible = makeEligibilityCheck(state, accepted, state.clocks.now);
  // A server that is only at the limit it names may have no room for long.
  return group.candidates.some((server) => isEligible(server) && isWithinRateLimit(state, server));
}

/**
 * Returns a predicate: can the request be sent to this server, once it has capacity and, by
 * `restedBy`, has rested?
 */
function makeEligibilityCheck(
  state: EntryState,
  accepted: RequestState,
  restedBy: MonotonicMilliseconds,
) {
  const excluded = findExcludedInstances(state, accepted, state.clocks.now, restedBy);
  return (server: BackendServerState) => {
    const { instance } = server.platformInstance;
    return (
      acceptsNewWork(server) && !accepted.triedInstances.has(instance) && !excluded.has(instance)
    );
  };
}

/** True if some backend server that was not tried yet can take the request in time. */
export function hasUntriedServer(state: EntryState, accepted: RequestState): boolean {
  const pool = getPoolState(state, accepted.pool.name);
  const isEligible = makeEligibilityCheck(state, accepted, lastServedAt(accepted));
  return pool.groups.some(
    (group) => group.candidates.some(isEligible) || [...group.ejected].some(isEligible),
  );
}
