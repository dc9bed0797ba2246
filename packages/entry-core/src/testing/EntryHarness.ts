/**
 * Runs the reducers of entries against engine models in virtual time, for tests of admission and
 * server selection. It performs only the effects that these depend on, and injects no faults
 * except those that a test adds.
 */
import type { EntryReport, ErrorKind, Milliseconds, Pool, Route } from '@hornbeampond/schema';
import { EngineModel, VirtualTimeline, type EngineSpeed } from '@hornbeampond/testing';
import type { EntryEffect } from '../entryEffects.js';
import type { AttemptFailure, CallerRequest, EntryEventPayload } from '../entryEvents.js';
import { makeEntryState, type EntryState } from '../EntryState.js';
import { reduceEntry } from '../reduceEntry.js';

/** What one caller received. */
export interface CallerOutcome {
  readonly request: CallerRequest;
  readonly arrivedAt: number;
  firstTokenAt?: number;
  finishedAt?: number;
  problem?: {
    readonly kind: ErrorKind;
    readonly ran: string | undefined;
    readonly at: number;
    readonly retryAfterMilliseconds: Milliseconds | undefined;
  };
}

export interface HarnessOptions {
  readonly entries?: number;
  readonly servers: number;
  readonly speed: EngineSpeed;
  readonly routes: readonly Route[];
  readonly pool: Pool;
  /** Maximum number of queued requests of each entry; 1000 by default. */
  readonly maxQueuedRequests?: number;
  /**
   * Interval at which load reports are sent, and the delay until each arrives; none are sent by
   * default.
   */
  readonly loadReportInterval?: Milliseconds;
  /**
   * Interval at which cache events are sent, and the delay until each arrives; none are sent by
   * default.
   */
  readonly cacheEventInterval?: Milliseconds;
  /** Returns true for the sequence numbers of cache events that get lost. */
  readonly losesCacheEvent?: (sequence: number) => boolean;
  /** Interval between the reports of entries to each other; none are sent by default. */
  readonly reportInterval?: Milliseconds;
  /** Data centre of the server with this number; `dc-a`, that of the entries, by default. */
  readonly dataCentreOf?: (server: number) => string;
  /** True if work reports between entries get lost. */
  readonly losesWorkReports?: boolean;
  /** True hides prefix digests from the reducer, which disables cache affinity. */
  readonly hidePrefixes?: boolean;
}

const NETWORK_MILLISECONDS = 1;
const TICK_MILLISECONDS = 50;
const STARTED_AT = Date.UTC(2026, 0, 15, 11);

export class EntryHarness {
  readonly timeline = new VirtualTimeline();

  readonly engines = new Map<string, EngineModel>();

  readonly entries: EntryState[];

  readonly outcomes = new Map<string, CallerOutcome>();

  /** How every attempt at an instance fails, by instance; other attempts succeed. */
  readonly failureByInstance = new Map<string, AttemptFailure>();

  /** Instances that take attempts and never answer them. */
  readonly silentInstances = new Set<string>();

  /** Sums of `count` effects, with `metric/label` as the key. */
  readonly counts = new Map<string, number>();

  private readonly answerTokens = new Map<string, number>();

  private frozenUntil = 0;

  private entryReportSequence = 0;

  private cacheSequence = 0;

  constructor(private readonly options: HarnessOptions) {
    const computedPrefixes = new Set<string>();
    for (let number = 0; number < options.servers; number += 1) {
      const instance = `engine-${number}`;
      const engine = new EngineModel(instance, this.timeline, options.speed, computedPrefixes);
      this.engines.set(instance, engine);
    }
    this.entries = Array.from({ length: options.entries ?? 1 }, (_, number) =>
      makeEntryState({
        instance: `entry-${number}`,
        dataCentre: 'dc-a',
        incarnation: STARTED_AT,
        maxQueuedRequests: options.maxQueuedRequests ?? 1000,
      }),
    );
    this.configure();
    this.startClocks();
  }

  /** Sends an event to one entry, or to all if none is given. */
  send(event: EntryEventPayload, entry?: number): void {
    const frozenFor = this.frozenUntil - this.timeline.now;
    if (frozenFor > 0) {
      this.timeline.after(frozenFor, () => this.send(event, entry));
      return;
    }
    this.entries.forEach((state, number) => {
      if (entry !== undefined && entry !== number) return;
      const { now } = this.timeline;
      const effects = reduceEntry(state, { ...event, now, wallNow: STARTED_AT + now });
      for (const effect of effects) this.performEffect(effect, number);
    });
  }

  /** Until this time is over, the entries handle no events; they handle all of them at its end. */
  freeze(duration: Milliseconds): void {
    this.frozenUntil = this.timeline.now + duration;
  }

  /** Sends the request of a caller to an entry. */
  submitRequest(request: CallerRequest, answerTokens: number, entry = 0): CallerOutcome {
    const outcome: CallerOutcome = { request, arrivedAt: this.timeline.now };
    this.outcomes.set(request.requestId, outcome);
    this.answerTokens.set(request.requestId, answerTokens);
    const visibleRequest =
      this.options.hidePrefixes === true ? { ...request, prefixDigests: [] } : request;
    this.send({ type: 'requestArrived', request: visibleRequest }, entry);
    return outcome;
  }

  /** Sends all entries a platform list with the first `count` engines. */
  listEngines(count: number = this.options.servers): void {
    const { pool, dataCentreOf = () => 'dc-a' } = this.options;
    const instances = [...this.engines.keys()].slice(0, count).map((instance, number) => ({
      instance,
      dataCentre: dataCentreOf(number),
      instanceClass: pool.instanceClasses[0]?.name ?? '',
      pool: pool.name,
      state: 'live' as const,
      host: '192.0.2.1',
      port: 8000,
    }));
    this.send({ type: 'instancesListed', instances });
  }

  private configure(): void {
    const { routes, pool } = this.options;
    const configuration = {
      revision: 1,
      routes: { revision: 1, rows: routes },
      pools: { revision: 1, rows: [pool] },
    };
    this.send({ type: 'configurationReceived', configuration });
    this.listEngines();
  }

  private startClocks(): void {
    const {
      loadReportInterval: loadLag,
      cacheEventInterval: cacheLag,
      reportInterval,
    } = this.options;
    this.timeline.every(TICK_MILLISECONDS, () => this.send({ type: 'tick' }));
    if (loadLag !== undefined) this.timeline.every(loadLag, () => this.reportLoad(loadLag));
    if (cacheLag !== undefined) this.timeline.every(cacheLag, () => this.reportCaches(cacheLag));
    if (reportInterval !== undefined) {
      this.timeline.every(reportInterval, () => this.reportEntries());
    }
  }

  private reportLoad(lag: Milliseconds): void {
    for (const [instance, { running, queued }] of this.engines) {
      const report = { instance, running, queued, measuredAt: STARTED_AT + this.timeline.now };
      this.timeline.after(lag, () => this.send({ type: 'loadReported', report }));
    }
  }

  private reportCaches(lag: Milliseconds): void {
    this.cacheSequence += 1;
    const sequence = this.cacheSequence;
    for (const [instance, engine] of this.engines) {
      const prefixDigests = engine.newlyStored;
      engine.newlyStored = [];
      const event = { instance, sequence, change: 'stored' as const, prefixDigests };
      if (this.options.losesCacheEvent?.(sequence) === true) continue;
      this.timeline.after(lag, () => this.send({ type: 'cacheEventsReceived', events: [event] }));
    }
  }

  private reportEntries(): void {
    this.entryReportSequence += 1;
    const sequence = this.entryReportSequence;
    this.entries.forEach((state) => {
      const report: EntryReport = {
        type: 'entryReport',
        ...state.identity,
        sequence,
        leaving: false,
        revision: 1,
        inProgress: state.limits.concurrencyLimiter.countOwnByKey(),
        leavingBackendServers: {},
        suspects: [],
      };
      this.timeline.after(NETWORK_MILLISECONDS, () => this.send({ type: 'entryReported', report }));
    });
  }

  private performEffect(effect: EntryEffect, entry: number): void {
    switch (effect.type) {
      case 'startAttempt':
        this.startAttempt(effect.requestId, effect.attemptId, effect.target.instance, entry);
        break;
      case 'finishAnswer':
        this.updateOutcome(effect.requestId, { finishedAt: this.timeline.now });
        break;
      case 'answerProblem': {
        const { requestId, kind, ran, retryAfterMilliseconds } = effect;
        const problem = { kind, ran, retryAfterMilliseconds, at: this.timeline.now };
        this.updateOutcome(requestId, { problem });
        break;
      }
      case 'probe': {
        // A failing instance still answers probes: only its attempts fail, not the host.
        const { instance } = effect.target;
        const answer = { type: 'probeAnswered', instance, answered: true } as const;
        this.timeline.after(NETWORK_MILLISECONDS, () => this.send(answer, entry));
        break;
      }
      case 'tellWork': {
        if (this.options.losesWorkReports === true) break;
        const { work } = effect;
        this.timeline.after(NETWORK_MILLISECONDS, () => this.send({ type: 'workReported', work }));
        break;
      }
      case 'count': {
        const key = `${effect.metric}/${effect.label ?? ''}`;
        this.counts.set(key, (this.counts.get(key) ?? 0) + (effect.amount ?? 1));
        break;
      }
      default:
    }
  }

  private updateOutcome(requestId: string, fields: Partial<CallerOutcome>): void {
    const outcome = this.outcomes.get(requestId);
    if (outcome !== undefined) Object.assign(outcome, fields);
  }

  private startAttempt(
    requestId: string,
    attemptId: string,
    instance: string,
    entry: number,
  ): void {
    const outcome = this.outcomes.get(requestId);
    const engine = this.engines.get(instance);
    if (outcome === undefined || engine === undefined) return;
    if (this.silentInstances.has(instance)) return;
    const failure = this.failureByInstance.get(instance);
    const send = (event: EntryEventPayload) => this.send(event, entry);
    const submit = () => {
      if (failure !== undefined) {
        send({
          type: 'attemptFailed',
          attemptId,
          failure,
          sent: 'maybe',
          tokens: 0,
          answerStarted: false,
        });
        return;
      }
      const tokens = this.answerTokens.get(requestId) ?? 0;
      engine.submit({
        promptTokens: outcome.request.promptTokens,
        prefixDigests: outcome.request.prefixDigests,
        answerTokens: tokens,
        onFirstToken: () => {
          outcome.firstTokenAt ??= this.timeline.now;
          send({ type: 'firstTokenReceived', attemptId });
        },
        onFinished: () => send({ type: 'attemptFinished', attemptId, tokens }),
      });
    };
    this.timeline.after(NETWORK_MILLISECONDS, submit);
  }
}
