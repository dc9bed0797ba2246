/**
 * Asks the other stores of the settings whether they know a cluster, and founds one if they allow it.
 * Also answers the same question of others. The decisions are in `decideFounding`.
 */
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  FoundingAnswer,
  KnownMembers,
  Milliseconds,
  MonotonicMilliseconds,
  StoreRequest,
  StoreResponse,
  StoreStatus,
} from '@hornbeampond/schema';
import {
  decideFounding,
  decideSupport,
  PROMISE_MILLISECONDS,
  type ClusterEvidence,
  type FoundingCandidate,
  type FoundingDecision,
  type FoundingPromise,
  type SeedAnswer,
} from './decideFounding.js';
import type { StorePeerClient } from './StorePeers.js';

const ASK_INTERVAL_MILLISECONDS: Milliseconds = 25;

const REQUEST_TIMEOUT_MILLISECONDS: Milliseconds = 500;

/** A seed is asked again after this time at the earliest, so that its support does not expire. */
const REPEAT_MILLISECONDS: Milliseconds = 200;

const FIRST_LOG_MILLISECONDS: Milliseconds = 1000;
const LOG_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

/** Seeds of which a log line states the answer. */
const MAX_LOGGED_SEEDS = 16;

export type FoundingOutcome = 'founded' | 'givenUp' | 'stopped' | 'undecided';

export interface FoundingOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly toleratesLoss: boolean;
  /** The clients of the other stores that the settings name, by instance. */
  listSeeds(): ReadonlyMap<string, StorePeerClient>;
  describeSelf(): FoundingCandidate;
  /** True if an earlier run of the process has used this disk. */
  hasEarlierRun(): boolean;
  /** What the log and the disk of this store know of a cluster. */
  findEvidence(): ClusterEvidence | undefined;
  foundCluster(): void;
  /** Asks the stores that have connected to this one, which may be no seeds, for the members they know. */
  askConnectedStores(): void;
  /** Called when this store turns out not to found, or no longer tries to. */
  onEnded(): void;
}

interface Candidacy {
  readonly startedAt: MonotonicMilliseconds;
  readonly answers: Map<string, SeedAnswer>;
  /** Seeds whose answers are awaited. */
  readonly awaited: Set<string>;
  /** When each seed was asked last. */
  readonly askedAt: Map<string, MonotonicMilliseconds>;
  readonly outcome: Promise<FoundingOutcome>;
  readonly cancelTimer: Unsubscribe;
  logDueAt: MonotonicMilliseconds;
  connectedAskDueAt: MonotonicMilliseconds;
  resolve(outcome: FoundingOutcome): void;
}

/** Stores of older versions do not know the question; their state answers it. */
function deriveAnswer({ term, voters, learners }: StoreStatus): FoundingAnswer {
  const knowsCluster = term > 0 || voters.length + learners.length > 0;
  return { knowsCluster, supports: !knowsCluster };
}

function describeAnswer(answer: SeedAnswer | undefined): string {
  if (answer === undefined) return 'none';
  if (answer.knowsCluster) return 'knowsCluster';
  return answer.supports ? 'supports' : 'supportsNot';
}

export class Founding {
  private readonly createdAt: MonotonicMilliseconds;

  private candidacy: Candidacy | undefined;

  private promise: FoundingPromise | undefined;

  private hasReceivedMessage = false;

  constructor(private readonly options: FoundingOptions) {
    this.createdAt = options.timers.monotonicNow();
  }

  get isRunning(): boolean {
    return this.candidacy !== undefined;
  }

  /** Asks the seeds until it is decided whether this store founds. Repeated calls share the outcome. */
  async run(): Promise<FoundingOutcome> {
    this.candidacy ??= this.makeCandidacy();
    const { outcome } = this.candidacy;
    this.proceed();
    return outcome;
  }

  /**
   * As `run`, for a caller that waits at most `limit`: an attempt that this call has begun is stopped then,
   * any other one goes on, and its outcome is undecided.
   */
  async runFor(limit: Milliseconds): Promise<FoundingOutcome> {
    const wasRunning = this.isRunning;
    const outcome = this.run();
    let cancel: Unsubscribe = () => {};
    const limited = new Promise<FoundingOutcome>((resolve) => {
      cancel = this.options.timers.after(limit, () => {
        if (wasRunning) resolve('undecided');
        else this.stop();
      });
    });
    return Promise.race([outcome, limited]).finally(() => cancel());
  }

  /** Ends an attempt; this store does not found then. */
  stop(): void {
    this.end('stopped');
  }

  /** Answers a store that may found. */
  answer(candidate: FoundingCandidate): FoundingAnswer {
    const now = this.options.timers.monotonicNow();
    const evidence = this.findEvidence();
    const ownCandidacy = this.candidacy === undefined ? undefined : this.options.describeSelf();
    const { promise, earlierRunUntil } = this;
    const situation = { now, evidence, promise, earlierRunUntil, ownCandidacy };
    const supports = decideSupport(situation, candidate);
    if (supports) {
      this.promise = { identity: candidate.identity, until: now + PROMISE_MILLISECONDS };
    }
    return { knowsCluster: evidence !== undefined, supports };
  }

  /** Only members of a cluster send messages of consensus. */
  recordMessage(): void {
    this.hasReceivedMessage = true;
  }

  /** Takes note of the members that a store knows, which may be none. */
  recordMembers({ stores }: KnownMembers): void {
    this.hasReceivedMessage ||= stores.length > 0;
  }

  private get earlierRunUntil(): MonotonicMilliseconds {
    return this.options.hasEarlierRun() ? this.createdAt + PROMISE_MILLISECONDS : this.createdAt;
  }

  private findEvidence(): ClusterEvidence | undefined {
    return this.options.findEvidence() ?? (this.hasReceivedMessage ? 'messageReceived' : undefined);
  }

  private makeCandidacy(): Candidacy {
    const { timers } = this.options;
    let resolve: (outcome: FoundingOutcome) => void = () => {};
    const outcome = new Promise<FoundingOutcome>((resolveOutcome) => {
      resolve = resolveOutcome;
    });
    const startedAt = timers.monotonicNow();
    return {
      startedAt,
      answers: new Map(),
      awaited: new Set(),
      askedAt: new Map(),
      outcome,
      resolve,
      cancelTimer: timers.every(ASK_INTERVAL_MILLISECONDS, () => this.proceed()),
      logDueAt: startedAt + FIRST_LOG_MILLISECONDS,
      connectedAskDueAt: startedAt,
    };
  }

  private proceed(): void {
    const { candidacy } = this;
    if (candidacy === undefined) return;
    const decision = this.decide(candidacy);
    switch (decision.type) {
      case 'wait':
        this.askSeeds(candidacy);
        this.askConnected(candidacy);
        this.logWaiting(candidacy);
        return;
      case 'found':
        this.options.foundCluster();
        this.options.logger.write('clusterFounded', this.describe(candidacy));
        this.end('founded');
        return;
      case 'giveUp': {
        const { type, ...reason } = decision;
        this.options.logger.write('foundingGivenUp', { ...reason, ...this.describe(candidacy) });
        this.end('givenUp');
        return;
      }
      default:
        decision satisfies never;
    }
  }

  private decide({ startedAt, answers }: Candidacy): FoundingDecision {
    const { toleratesLoss, timers, listSeeds, describeSelf } = this.options;
    const now = timers.monotonicNow();
    const { promise } = this;
    const isPromised =
      promise !== undefined && now < promise.until && promise.identity !== describeSelf().identity;
    return decideFounding({
      now,
      startedAt,
      evidence: this.findEvidence(),
      supportsItself: !isPromised && now >= this.earlierRunUntil,
      others: [...listSeeds().keys()],
      answers,
      toleratesLoss,
    });
  }

  private askSeeds(candidacy: Candidacy): void {
    const now = this.options.timers.monotonicNow();
    this.options.listSeeds().forEach((client, seed) => {
      const askedAt = candidacy.askedAt.get(seed) ?? Number.NEGATIVE_INFINITY;
      if (!client.isOpen || candidacy.awaited.has(seed) || now - askedAt < REPEAT_MILLISECONDS)
        return;
      candidacy.awaited.add(seed);
      candidacy.askedAt.set(seed, now);
      void this.askSeed(candidacy, seed, client);
    });
  }

  private askConnected(candidacy: Candidacy): void {
    const now = this.options.timers.monotonicNow();
    if (now < candidacy.connectedAskDueAt) return;
    candidacy.connectedAskDueAt = now + REPEAT_MILLISECONDS;
    this.options.askConnectedStores();
  }

  private async askSeed(
    candidacy: Candidacy,
    seed: string,
    client: StorePeerClient,
  ): Promise<void> {
    const { timers, describeSelf } = this.options;
    const askedAt = timers.monotonicNow();
    const request: StoreRequest = { type: 'readStatus', foundingCandidate: describeSelf() };
    try {
      const response = await client.request(request, REQUEST_TIMEOUT_MILLISECONDS);
      const { type, ...rest } = response as StoreResponse;
      if (type === 'status' && 'status' in rest) {
        const { knowsCluster, supports } = rest.founding ?? deriveAnswer(rest.status);
        candidacy.answers.set(seed, { askedAt, knowsCluster, supports });
      }
    } catch {
      // The seed is asked again, and the log lines of the attempt state that it has not answered.
    } finally {
      candidacy.awaited.delete(seed);
    }
    if (this.candidacy === candidacy) this.proceed();
  }

  private logWaiting(candidacy: Candidacy): void {
    const now = this.options.timers.monotonicNow();
    if (now < candidacy.logDueAt) return;
    candidacy.logDueAt = now + LOG_INTERVAL_MILLISECONDS;
    this.options.logger.write('foundingWaits', this.describe(candidacy));
  }

  private describe({ startedAt, answers }: Candidacy) {
    const now = this.options.timers.monotonicNow();
    const seeds = [...this.options.listSeeds().keys()];
    const logged = seeds.slice(0, MAX_LOGGED_SEEDS).map((seed) => {
      const answer = answers.get(seed);
      const age = answer === undefined ? {} : { age: Math.round(now - answer.askedAt) };
      return { seed, answer: describeAnswer(answer), ...age };
    });
    return { waited: Math.round(now - startedAt), seeds: seeds.length, answers: logged };
  }

  private end(outcome: FoundingOutcome): void {
    const { candidacy } = this;
    if (candidacy === undefined) return;
    this.candidacy = undefined;
    candidacy.cancelTimer();
    candidacy.resolve(outcome);
    if (outcome !== 'founded') this.options.onEnded();
  }
}
