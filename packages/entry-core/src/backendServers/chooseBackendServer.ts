/**
 * Chooses the backend server for an attempt. Few are looked at, however many there are: those
 * believed to have the longest prefix of the prompt, and two at random, of which the better one
 * wins (two random choices keep the fullest server near the mean, and entries that see the same
 * old load reports do not all pick the same one). Own data centre first; others when it has
 * nobody or would be late, or when they save more than going there costs.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { findExcludedInstances } from '../attempts/findExcludedInstances.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { estimateInProgress } from './estimateInProgress.js';
import { hasCapacity } from './hasCapacity.js';
import type { CandidateGroup, PoolState } from './PoolState.js';
import { getPoolState } from './getPoolState.js';
import { predictFirstTokenDelay, estimateUncachedTokens } from './predictFirstTokenDelay.js';
import { currentLimit } from './BalancingState.js';

/** Groups up to this size are looked at whole. */
const MAX_FULL_SCAN_SERVERS = 8;
const RANDOM_SAMPLES = 2;
/** More samples, one at a time, while none with room was found. */
const MAX_EXTRA_SAMPLES = 14;

/**
 * What another data centre has to save before it is preferred: the way there and back, the price
 * of the bytes between data centres, and the risk to be cut off from it. Computing five thousand
 * cached tokens anew takes an engine about 70 ms.
 */
const MIN_REMOTE_SAVING_MILLISECONDS: Milliseconds = 30;

/**
 * Of the caller's patience: a first token predicted later than this comes from a busy server. Below
 * it a caller gains little from going elsewhere; by judgement, other shares were not measured.
 */
const BUSY_FRACTION_OF_REMAINING_TIME = 0.25;

/** How much longer an answer is taken to last in a full batch than alone, as a share of it. */
const FULL_BATCH_EXTRA_FRACTION_OF_SERVICE_TIME = 0.2;

/** When the request's next token is due. */
export function nextTokenDueAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, interruptedAt, maxPause } = accepted;
  if (firstTokenAt === undefined) {
    return accepted.isLate === true ? accepted.lateFirstTokenDueAt : accepted.firstTokenDueAt;
  }
  const pauseEndsAt = (interruptedAt ?? firstTokenAt) + maxPause;
  return Math.min(accepted.wholeAnswerDueAt, pauseEndsAt);
}

interface ScoredServer {
  readonly server: BackendServerState;
  readonly firstTokenDelay: Milliseconds;
  /**
   * What computing the prompt there takes, which is what others that come after it wait longer. At
   * the home of the prompt it is less by what later requests will save.
   */
  readonly prefillCost: Milliseconds;
  /**
   * What the choice goes by, the least wins: the request's own wait and what it makes others wait,
   * or for streams of a wave how full the server is.
   */
  readonly cost: number;
}

/** The server at which a prompt that others share is to be begun. */
interface AffinityTarget {
  readonly server: BackendServerState;
  /** Tokens that are shared with other requests. */
  readonly sharedTokens: number;
}

/**
 * The home of the part of the prompt that other requests share: all but the last part, which is the
 * request's own. There is none once a server is believed to have computed it.
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

/** One search for a backend server. */
class ServerSearch {
  best: ScoredServer | undefined;

  private readonly considered = new Set<BackendServerState>();

  private readonly excluded: ReadonlySet<string>;

  constructor(
    private readonly state: EntryState,
    private readonly pool: PoolState,
    private readonly accepted: RequestState,
    private readonly now: MonotonicMilliseconds,
    private readonly affinityTarget: AffinityTarget | undefined,
    private readonly spreadEvenly: boolean,
  ) {
    this.excluded = findExcludedInstances(state, accepted, now);
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
    if (this.best === undefined || cost < this.best.cost) {
      this.best = { server, firstTokenDelay, prefillCost, cost };
    }
  }

  /**
   * What a fuller batch costs, in time of the whole answer. Without it all new conversations of a
   * workspace would follow its system prompt to one server, and the others be idle until the rush.
   */
  private estimateBatchCost(server: BackendServerState): Milliseconds {
    const serviceTime = this.pool.estimateServiceTime(this.accepted.route.name);
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
    if (this.affinityTarget !== undefined && group.has(this.affinityTarget.server))
      this.consider(this.affinityTarget.server);
    for (const { server } of this.pool.prefixCacheIndex.findHolders(
      this.accepted.request,
      this.now,
    )) {
      if (group.has(server)) this.consider(server);
    }
  }

  considerGroup(group: CandidateGroup): void {
    if (group.candidates.length <= MAX_FULL_SCAN_SERVERS) {
      for (const server of [...group.candidates]) this.consider(server);
      return;
    }
    for (let sample = 0; sample < RANDOM_SAMPLES; sample += 1) this.considerRandom(group);
    for (let extra = 0; extra < MAX_EXTRA_SAMPLES && this.best === undefined; extra += 1) {
      this.considerRandom(group);
    }
  }

  private considerRandom(group: CandidateGroup): void {
    if (group.candidates.length === 0) return;
    this.consider(group.getOrRemove(uniformInt(this.state.random, 0, group.candidates.length - 1)));
  }

  private computeUtilization(server: BackendServerState): number {
    return estimateInProgress(this.state, server) / currentLimit(server.balancing, this.now);
  }
}

/** How to look for a backend server. */
export interface ChoiceOptions {
  /** `remote`: only in other data centres. */
  readonly where?: 'nearest' | 'remote';
  /** A server that has just got room: at thousands of servers samples may miss it. */
  readonly freedServer?: BackendServerState | undefined;
  /**
   * For streams of a wave that are all placed at one moment: the emptiest server wins. Predictions
   * come from first tokens seen before the wave, so all of it would go to the one that was fastest.
   */
  readonly spreadEvenly?: boolean;
}

/** The home is the same for every group that is searched, so it is looked up once. */
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
  if (freedServer !== undefined && group.has(freedServer)) serverSearch.consider(freedServer);
  serverSearch.considerPrefixHolders(group);
  serverSearch.considerGroup(group);
  return serverSearch.best;
}

/**
 * True if a server of another data centre is to be preferred to the best one of the own: it is in
 * time and the other is not, or it saves enough, by a cached prefix or because the own one is busy.
 */
function isRemoteBetter(
  bestLocal: ScoredServer,
  bestRemote: ScoredServer,
  remainingTime: Milliseconds,
): boolean {
  if (bestLocal.firstTokenDelay > remainingTime) return bestRemote.firstTokenDelay <= remainingTime;
  const isBusy = bestLocal.firstTokenDelay > remainingTime * BUSY_FRACTION_OF_REMAINING_TIME;
  const isCached = bestRemote.prefillCost < bestLocal.prefillCost;
  if (!isBusy && !isCached) return false;
  const savedTime =
    bestLocal.firstTokenDelay +
    bestLocal.prefillCost -
    bestRemote.firstTokenDelay -
    bestRemote.prefillCost;
  return savedTime > MIN_REMOTE_SAVING_MILLISECONDS;
}

/**
 * The backend server with room that promises the earliest first token, or undefined if none has
 * room now. Other data centres are looked at when the own one has no candidate or would be late;
 * whether a request that could wait at home should rather go there now is up to admission.
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
  const remainingTime = nextTokenDueAt(accepted) - state.clocks.now;
  return (isRemoteBetter(bestLocal, bestRemote, remainingTime) ? bestRemote : bestLocal).server;
}

function hasUntriedServerIn(
  state: EntryState,
  group: CandidateGroup,
  accepted: RequestState,
): boolean {
  const isEligible = makeEligibilityCheck(state, accepted);
  return group.candidates.some(isEligible);
}

/** Tells of which backend servers the request can still be sent to, now or once they have room. */
function makeEligibilityCheck(state: EntryState, accepted: RequestState) {
  const excluded = findExcludedInstances(state, accepted, state.clocks.now);
  return (server: BackendServerState) => {
    const { instance } = server.platformInstance;
    return (
      acceptsNewWork(server) && !accepted.triedInstances.has(instance) && !excluded.has(instance)
    );
  };
}

/** True if some backend server that was not tried yet can take the request, now or later. */
export function hasUntriedServer(state: EntryState, accepted: RequestState): boolean {
  const pool = getPoolState(state, accepted.pool.name);
  const isEligible = makeEligibilityCheck(state, accepted);
  return pool.groups.some(
    (group) => group.candidates.some(isEligible) || [...group.ejected].some(isEligible),
  );
}
