/**
 * The backend servers of one pool as the choice sees them: those that take new work, in two
 * groups (own data centre and the others), each an array so that sampling costs the same at ten
 * servers and at ten thousand; and what all of them have taught about delays.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import { DecayingPeak } from './DecayingPeak.js';
import { DelayRegression } from './DelayRegression.js';
import { MovingAverage } from './MovingAverage.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { PrefixCacheIndex } from './PrefixCacheIndex.js';
import { PrefixHashRing } from './PrefixHashRing.js';

/** Servers of one pool in one group of data centres. */
export class CandidateGroup {
  readonly candidates: BackendServerState[] = [];

  /** Servers that would take new work but were ejected as outliers. */
  readonly ejected = new Set<BackendServerState>();

  /** Sum of the adaptive limits of all candidates. */
  limitSum = 0;

  clear(): void {
    this.candidates.length = 0;
    this.ejected.clear();
    this.limitSum = 0;
  }

  add(server: BackendServerState): void {
    server.balancing.candidateIndex = this.candidates.length;
    this.candidates.push(server);
    this.limitSum += server.balancing.limit;
  }

  /** Takes a server out by putting the last one in its place. */
  remove(server: BackendServerState): void {
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

  has(server: BackendServerState): boolean {
    return this.candidates[server.balancing.candidateIndex ?? -1] === server;
  }

  /** The server at a place, unless it has stopped taking new work; then it is taken out. */
  getOrRemove(index: number): BackendServerState | undefined {
    const server = this.candidates[index];
    if (server === undefined || acceptsNewWork(server)) return server;
    this.remove(server);
    return undefined;
  }
}

/** Until a filled server was seen, answers are taken to last so many times as long there. */
const BUSY_SERVICE_TIME_FACTOR = 2;
const PRIOR_SERVICE_TIME_MILLISECONDS: Milliseconds = 1000;
const PRIOR_FIRST_TOKEN_DELAY_MILLISECONDS: Milliseconds = 50;
const PRIOR_PREFILL_MILLISECONDS_PER_TOKEN: Milliseconds = 0.1;

export class PoolState {
  readonly local = new CandidateGroup();

  readonly remote = new CandidateGroup();

  /** First-token delay by prompt tokens that are to be computed until then. */
  readonly firstTokenRegression = new DelayRegression(
    PRIOR_FIRST_TOKEN_DELAY_MILLISECONDS,
    PRIOR_PREFILL_MILLISECONDS_PER_TOKEN,
  );

  /** Time from the start of an attempt to its end at servers that were little filled, by route. */
  private readonly nonBusyServiceTimes = new Map<string, MovingAverage>();

  /** The same at servers that were well filled. */
  private readonly busyServiceTimes = new Map<string, MovingAverage>();

  /** Tokens of prompts that had to be computed, by route. */
  private readonly uncachedTokens = new Map<string, MovingAverage>();

  /** Attempts of this entry in progress at the pool's servers. */
  readonly attemptIds = new Set<string>();

  /** Most attempts that were in progress lately. */
  readonly peakInProgress = new DecayingPeak();

  readonly prefixCacheIndex = new PrefixCacheIndex();

  readonly prefixHashRing = new PrefixHashRing();

  get groups(): readonly CandidateGroup[] {
    return [this.local, this.remote];
  }

  /** True if any backend server takes new work or will once its ejection is over. */
  get hasServers(): boolean {
    return this.groups.some((group) => group.candidates.length + group.ejected.size > 0);
  }

  /** The group whose servers do the usual work of this entry. */
  get primaryGroup(): CandidateGroup {
    return this.local.candidates.length > 0 ? this.local : this.remote;
  }

  groupOf(server: BackendServerState): CandidateGroup {
    return this.remote.has(server) || this.remote.ejected.has(server) ? this.remote : this.local;
  }

  /** Sets a server's adaptive limit and keeps its group's sum right. */
  setLimit(server: BackendServerState, limit: number): void {
    const { balancing } = server;
    if (balancing.candidateIndex !== undefined) {
      this.groupOf(server).limitSum += limit - balancing.limit;
    }
    balancing.limit = limit;
  }

  /** How long an answer of the route lasts in a well filled batch, as there is in a rush. */
  estimateServiceTime(route: string): Milliseconds {
    const busy = this.busyServiceTimes.get(route)?.value;
    if (busy !== undefined) return busy;
    const nonBusy = this.nonBusyServiceTimes.get(route)?.value;
    return nonBusy === undefined ? PRIOR_SERVICE_TIME_MILLISECONDS : nonBusy * BUSY_SERVICE_TIME_FACTOR;
  }

  /** How long an engine computes the prompt of one of the route's requests. */
  estimatePrefillTime(route: string): Milliseconds {
    return this.firstTokenRegression.predictMarginalDelay(
      this.uncachedTokens.get(route)?.value ?? 0,
    );
  }

  /** Takes in how many tokens of a prompt were not in the cache of where it was sent. */
  recordUncachedTokens(route: string, tokens: number): void {
    const average = this.uncachedTokens.get(route) ?? new MovingAverage(tokens);
    average.addSample(tokens);
    this.uncachedTokens.set(route, average);
  }

  recordServiceTime(route: string, sample: Milliseconds, isBusy: boolean): void {
    const averages = isBusy ? this.busyServiceTimes : this.nonBusyServiceTimes;
    const average = averages.get(route) ?? new MovingAverage(PRIOR_SERVICE_TIME_MILLISECONDS);
    average.addSample(sample);
    averages.set(route, average);
  }
}
