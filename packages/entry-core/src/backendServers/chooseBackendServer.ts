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
const WHOLE_GROUP_SIZE = 8;
const RANDOM_CHOICES = 2;
/** More samples, one at a time, while none with room was found. */
const MORE_CHOICES = 14;

/**
 * What another data centre has to save before it is preferred: the way there and back, the price
 * of the bytes between data centres, and the risk to be cut off from it. Computing five thousand
 * cached tokens anew takes an engine about 70 ms.
 */
const REMOTE_MILLISECONDS: Milliseconds = 30;

/**
 * Of the caller's patience: a first token predicted later than this comes from a busy server. Below
 * it a caller gains little from going elsewhere; by judgement, other shares were not measured.
 */
const BUSY_SHARE = 0.25;

/** How much longer an answer is taken to last in a full batch than alone, as a share of it. */
const CROWDING_SHARE = 0.2;

/** When the request's next token is due. */
export function nextTokenDueAt(accepted: RequestState): MonotonicMilliseconds {
  const { firstTokenAt, interruptedAt, maxPause: longestPause } = accepted;
  if (firstTokenAt === undefined) {
    return accepted.isLate === true ? accepted.lateFirstTokenDueAt : accepted.firstTokenDueAt;
  }
  const paused = (interruptedAt ?? firstTokenAt) + longestPause;
  return Math.min(accepted.wholeAnswerDueAt, paused);
}

interface Choice {
  readonly server: BackendServerState;
  readonly firstTokenIn: Milliseconds;
  /**
   * What computing the prompt there takes, which is what others that come after it wait longer. At
   * the home of the prompt it is less by what later requests will save.
   */
  readonly promptTime: Milliseconds;
  /**
   * What the choice goes by, the least wins: the request's own wait and what it makes others wait,
   * or for streams of a wave how full the server is.
   */
  readonly rank: number;
}

/** The server at which a prompt that others share is to be begun. */
interface Home {
  readonly server: BackendServerState;
  /** Tokens that are shared with other requests. */
  readonly tokens: number;
}

/**
 * The home of the part of the prompt that other requests share: all but the last part, which is the
 * request's own. There is none once a server is believed to have computed it.
 */
function findHome(
  pool: PoolState,
  { request }: RequestState,
  now: MonotonicMilliseconds,
): Home | undefined {
  const { prefixDigests, prefixTokens } = request;
  const digest = prefixDigests.at(-2);
  const tokens = prefixTokens?.at(-2);
  if (digest === undefined || tokens === undefined) return undefined;
  if (pool.prefixCacheIndex.isCachedAnywhere(digest, now)) return undefined;
  const server = pool.prefixHashRing.findServer(digest);
  return server === undefined ? undefined : { server, tokens };
}

/** One search for a backend server. */
class ServerSearch {
  best: Choice | undefined;

  private readonly seen = new Set<BackendServerState>();

  private readonly ruledOut: ReadonlySet<string>;

  constructor(
    private readonly state: EntryState,
    private readonly pool: PoolState,
    private readonly accepted: RequestState,
    private readonly now: MonotonicMilliseconds,
    private readonly home: Home | undefined,
    private readonly spread: boolean,
  ) {
    this.ruledOut = findExcludedInstances(state, accepted, now);
  }

  look(server: BackendServerState | undefined): void {
    if (server === undefined || this.seen.has(server)) return;
    this.seen.add(server);
    const { instance } = server.platformInstance;
    if (this.accepted.triedInstances.has(instance) || this.ruledOut.has(instance)) return;
    if (!acceptsNewWork(server) || !hasCapacity(this.state, this.pool, server, this.accepted))
      return;
    const firstTokenIn = predictFirstTokenDelay(this.state, this.pool, server, this.accepted);
    const promptTime = this.promptTime(server);
    const rank = this.spread
      ? this.fullness(server)
      : firstTokenIn + promptTime + this.crowding(server);
    if (this.best === undefined || rank < this.best.rank) {
      this.best = { server, firstTokenIn, promptTime, rank };
    }
  }

  /**
   * What a fuller batch costs, in time of the whole answer. Without it all new conversations of a
   * workspace would follow its system prompt to one server, and the others be idle until the rush.
   */
  private crowding(server: BackendServerState): Milliseconds {
    const serviceTime = this.pool.estimateServiceTime(this.accepted.route.name);
    return serviceTime * this.fullness(server) * CROWDING_SHARE;
  }

  private promptTime(server: BackendServerState): Milliseconds {
    const uncached = estimateUncachedTokens(this.pool, server, this.accepted.request, this.now);
    const saved = this.home?.server === server ? this.home.tokens : 0;
    return this.pool.firstTokenRegression.predictMarginalDelay(uncached - saved);
  }

  lookAtHolders(group: CandidateGroup): void {
    if (this.home !== undefined && group.has(this.home.server)) this.look(this.home.server);
    for (const { server } of this.pool.prefixCacheIndex.findHolders(
      this.accepted.request,
      this.now,
    )) {
      if (group.has(server)) this.look(server);
    }
  }

  lookAround(group: CandidateGroup): void {
    if (group.candidates.length <= WHOLE_GROUP_SIZE) {
      for (const server of [...group.candidates]) this.look(server);
      return;
    }
    for (let sample = 0; sample < RANDOM_CHOICES; sample += 1) this.lookAtRandom(group);
    for (let more = 0; more < MORE_CHOICES && this.best === undefined; more += 1) {
      this.lookAtRandom(group);
    }
  }

  private lookAtRandom(group: CandidateGroup): void {
    if (group.candidates.length === 0) return;
    this.look(group.at(uniformInt(this.state.random, 0, group.candidates.length - 1)));
  }

  private fullness(server: BackendServerState): number {
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
  readonly home: Home | undefined;
}

function search(
  state: EntryState,
  accepted: RequestState,
  group: CandidateGroup,
  { freedServer: freed, home, spreadEvenly: spread = false }: SearchOptions,
): Choice | undefined {
  const { now } = state.clocks;
  const pool = getPoolState(state, accepted.pool.name);
  const one = new ServerSearch(state, pool, accepted, now, home, spread);
  if (freed !== undefined && group.has(freed)) one.look(freed);
  one.lookAtHolders(group);
  one.lookAround(group);
  return one.best;
}

/**
 * True if a server of another data centre is to be preferred to the best one of the own: it is in
 * time and the other is not, or it saves enough, by a cached prefix or because the own one is busy.
 */
function isBetterFar(near: Choice, far: Choice, dueIn: Milliseconds): boolean {
  if (near.firstTokenIn > dueIn) return far.firstTokenIn <= dueIn;
  const isBusy = near.firstTokenIn > dueIn * BUSY_SHARE;
  const isCached = far.promptTime < near.promptTime;
  if (!isBusy && !isCached) return false;
  const saved = near.firstTokenIn + near.promptTime - far.firstTokenIn - far.promptTime;
  return saved > REMOTE_MILLISECONDS;
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
  const searched = { ...options, home: findHome(pool, accepted, state.clocks.now) };
  if (options.where === 'remote') return search(state, accepted, remote, searched)?.server;
  const near = search(state, accepted, local, searched);
  if (near === undefined && hasUntriedIn(state, local, accepted)) return undefined;
  const far = search(state, accepted, remote, searched);
  if (near === undefined || far === undefined) return (near ?? far)?.server;
  const dueIn = nextTokenDueAt(accepted) - state.clocks.now;
  return (isBetterFar(near, far, dueIn) ? far : near).server;
}

function hasUntriedIn(state: EntryState, group: CandidateGroup, accepted: RequestState): boolean {
  const isFree = isFreeFor(state, accepted);
  return group.candidates.some(isFree);
}

/** Tells of which backend servers the request can still be sent to, now or once they have room. */
function isFreeFor(state: EntryState, accepted: RequestState) {
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
  const isFree = isFreeFor(state, accepted);
  return pool.groups.some(
    (group) => group.candidates.some(isFree) || [...group.ejected].some(isFree),
  );
}
