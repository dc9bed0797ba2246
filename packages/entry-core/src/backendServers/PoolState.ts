/**
 * Load-balancing state of one pool: its backend servers in two groups, those in the data centre of
 * this entry and those in all other data centres; its prefix cache index and prefix hash ring; the
 * attempts of this entry in the pool; and averages over all servers of the pool. A group holds its
 * candidates in an array, so that drawing a random one takes constant time.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { DecayingPeak } from './DecayingPeak.js';
import { DelayRegression } from './DelayRegression.js';
import { MovingAverage } from './MovingAverage.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { PrefixCacheIndex } from './PrefixCacheIndex.js';
import { PrefixHashRing } from './PrefixHashRing.js';

/**
 * The backend servers of a pool in one place: the data centre of this entry, or all other data
 * centres. Candidates are the servers that can be chosen: they accept new work and are not ejected.
 */
export class CandidateGroup {
  readonly candidates: BackendServerState[] = [];

  /** Live servers that are ejected as outliers; they are no candidates until reinstated. */
  readonly ejected = new Set<BackendServerState>();

  /** Sum of the adaptive concurrency limits of all candidates. */
  limitSum = 0;

  clear(): void {
    this.candidates.length = 0;
    this.ejected.clear();
    this.limitSum = 0;
  }

  addCandidate(server: BackendServerState): void {
    server.balancing.candidateIndex = this.candidates.length;
    this.candidates.push(server);
    this.limitSum += server.balancing.limit;
  }

  /** Removes a candidate by moving the last one to its position. */
  removeCandidate(server: BackendServerState): void {
    const index = server.balancing.candidateIndex;
    if (index === undefined || this.candidates[index] !== server) return;
    const last = this.candidates.pop();
    if (last !== undefined && last !== server) {
      this.candidates[index] = last;
      last.balancing.candidateIndex = index;
    }
    server.balancing.candidateIndex = undefined;
    this.limitSum -= server.balancing.limit;
  }

  hasCandidate(server: BackendServerState): boolean {
    return this.candidates[server.balancing.candidateIndex ?? -1] === server;
  }

  /**
   * The candidate at an index. One that no longer accepts new work is removed, and undefined is
   * returned.
   */
  getCandidateOrRemove(index: number): BackendServerState | undefined {
    const server = this.candidates[index];
    if (server === undefined || acceptsNewWork(server)) return server;
    this.removeCandidate(server);
    return undefined;
  }
}

/**
 * Assumed ratio of the service time on a busy server to that on a non-busy one, until a busy one
 * has been measured.
 */
const BUSY_SERVICE_TIME_FACTOR = 2;
const DEFAULT_SERVICE_TIME_MILLISECONDS: Milliseconds = 1000;
const DEFAULT_DECODING_MILLISECONDS_PER_TOKEN: Milliseconds = 20;
const PRIOR_FIRST_TOKEN_DELAY_MILLISECONDS: Milliseconds = 50;
const PRIOR_PREFILL_MILLISECONDS_PER_TOKEN: Milliseconds = 0.1;

export class PoolState {
  readonly local = new CandidateGroup();

  readonly remote = new CandidateGroup();

  /**
   * Predicts the first-token delay from the number of tokens that the server prefills first: those
   * of pending prompts and of the request itself.
   */
  readonly firstTokenRegression = new DelayRegression(
    PRIOR_FIRST_TOKEN_DELAY_MILLISECONDS,
    PRIOR_PREFILL_MILLISECONDS_PER_TOKEN,
  );

  /** Average time per answer token, as on a server of mean speed. */
  readonly decodingTime = new MovingAverage(DEFAULT_DECODING_MILLISECONDS_PER_TOKEN);

  /** Average duration of attempts that finished on servers that were not busy, keyed by route. */
  private readonly nonBusyServiceTimes = new Map<string, MovingAverage>();

  /** The same for busy servers, those near their concurrency limit (see `observeFinish`). */
  private readonly busyServiceTimes = new Map<string, MovingAverage>();

  /** The same for all servers. */
  private readonly measuredServiceTimes = new Map<string, MovingAverage>();

  /**
   * Average number of prompt tokens estimated to be uncached when an attempt starts, keyed by
   * route.
   */
  private readonly averageUncachedTokens = new Map<string, MovingAverage>();

  /** Attempts of this entry in progress in the pool. */
  readonly attemptIds = new Set<string>();

  /** Recent peak of the number of attempts in progress. */
  readonly peakInProgress = new DecayingPeak();

  readonly prefixCacheIndex = new PrefixCacheIndex();

  readonly prefixHashRing = new PrefixHashRing();

  get groups(): readonly CandidateGroup[] {
    return [this.local, this.remote];
  }

  /** True if the pool has any candidate or ejected server. */
  get hasServers(): boolean {
    return this.groups.some((group) => group.candidates.length + group.ejected.size > 0);
  }

  /** The local group, or the remote one if no local server is a candidate. */
  get primaryGroup(): CandidateGroup {
    return this.local.candidates.length > 0 ? this.local : this.remote;
  }

  /** The group that holds the server as a candidate or ejected; `local` if neither does. */
  groupOf(server: BackendServerState): CandidateGroup {
    return this.remote.hasCandidate(server) || this.remote.ejected.has(server)
      ? this.remote
      : this.local;
  }

  /** Sets a server's adaptive concurrency limit and updates the sum of its group. */
  setLimit(server: BackendServerState, limit: number): void {
    const { balancing } = server;
    if (balancing.candidateIndex !== undefined) {
      this.groupOf(server).limitSum += limit - balancing.limit;
    }
    balancing.limit = limit;
  }

  /**
   * Expected duration of an attempt for the route on a busy server. For a route that this entry has
   * not served yet, it is the mean of the pool's other routes: with hundreds of entries, each of them
   * meets most routes for the first time long after the others.
   */
  estimateBusyServiceTime(route: string): Milliseconds {
    const busy = this.busyServiceTimes.get(route)?.value;
    if (busy !== undefined) return busy;
    const nonBusy = this.nonBusyServiceTimes.get(route)?.value;
    if (nonBusy !== undefined) return nonBusy * BUSY_SERVICE_TIME_FACTOR;
    return this.meanBusyServiceTime;
  }

  /** Expected duration of an attempt on a busy server, as the mean of all routes. */
  get meanBusyServiceTime(): Milliseconds {
    const measured = [...this.measuredServiceTimes.values()].map(({ value }) => value);
    if (measured.length === 0) return DEFAULT_SERVICE_TIME_MILLISECONDS;
    const mean = measured.reduce((sum, value) => sum + value, 0) / measured.length;
    return mean * BUSY_SERVICE_TIME_FACTOR;
  }

  /** Average duration of the route's attempts on all servers; undefined until one has finished. */
  measureServiceTime(route: string): MovingAverage | undefined {
    return this.measuredServiceTimes.get(route);
  }

  /** Expected prefill time of the uncached part of a prompt of the route. */
  estimatePrefillTime(route: string): Milliseconds {
    return this.firstTokenRegression.predictMarginalDelay(
      this.averageUncachedTokens.get(route)?.value ?? 0,
    );
  }

  recordUncachedTokens(route: string, tokens: number): void {
    const average = this.averageUncachedTokens.get(route) ?? new MovingAverage(tokens);
    average.addSample(tokens);
    this.averageUncachedTokens.set(route, average);
  }

  recordServiceTime(route: string, sample: Milliseconds, isBusy: boolean): void {
    const averages = isBusy ? this.busyServiceTimes : this.nonBusyServiceTimes;
    [averages, this.measuredServiceTimes].forEach((averagesByRoute) => {
      const average =
        averagesByRoute.get(route) ?? new MovingAverage(DEFAULT_SERVICE_TIME_MILLISECONDS);
      average.addSample(sample);
      averagesByRoute.set(route, average);
    });
  }
}
