/**
 * Simulates the process around the reducer of one entry: it performs the effects of the reducer on
 * simulated engines and sends it the resulting events.
 */
import type { ReportCrashCommand } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { CallerRequest, EntryEventPayload, Timestamps } from '../entryEvents.js';
import { makeEntryState, type EntryIdentity, type EntryState } from '../EntryState.js';
import { reduceEntry } from '../reduceEntry.js';
import { isStatementOfInterest } from '../statements/receiveStatement.js';
import type { EngineListener, SimulatedEngine } from './SimulatedEngine.js';
import type { SimulatedCluster } from './SimulatedCluster.js';
import type { PathCut } from './SimulatedPaths.js';

type Effect<Type extends EntryEffect['type']> = Extract<EntryEffect, { type: Type }>;

/** Final answer of a request, as its caller sees it. */
export type FinalAnswer =
  | { readonly type: 'whole'; readonly at: number; readonly text: string }
  /** The caller closed its connection. */
  | { readonly type: 'gone'; readonly at: number }
  | {
      readonly type: 'problem';
      readonly at: number;
      readonly kind: string;
      readonly ran?: string;
      readonly retryAfterMilliseconds?: number;
    };

/** Everything that one caller has received. */
export interface CallerRecord {
  readonly request: CallerRequest;
  readonly arrivedAt: number;
  readonly tokens: string[];
  /** Versions of the engines that generated the tokens, where they have one. */
  readonly versions: Set<string>;
  readonly finalAnswers: FinalAnswer[];
  firstTokenAt?: number;
}

interface Connection {
  readonly attemptId: string;
  readonly caller: CallerRecord;
  readonly instance: string;
  /** True if a partial answer cannot be resumed. */
  readonly isPlainService: boolean;
  /** Tokens received over this connection. */
  readonly ownTokens: string[];
  lastActivityAt: number;
  currentTimeout: number;
  readonly idleTimeout: number;
  hasFirstToken: boolean;
  lastProgressAt: number;
  timedOut: boolean;
}

/** An order to move a KV cache that the entry has sent. */
export interface SimulatedMoveOrder {
  readonly at: number;
  readonly requestId: string;
  readonly attemptId: string;
  readonly from: string;
  readonly to: string;
  readonly moveNumber: number;
  isAnswered: boolean;
}

/** How an order to move a KV cache is answered. */
export interface SimulatedMoveAnswer {
  readonly after: number;
  readonly moved: boolean;
  /** True if the answer states that the run has stopped, and the end of its stream is lost. */
  readonly runStopped?: boolean;
}

const PROGRESS_INTERVAL_MILLISECONDS = 100;

export class SimulatedEntry {
  readonly instance: string;

  readonly state: EntryState;

  readonly callers = new Map<string, CallerRecord>();

  /** Sums of `count` effects, with `metric/label` as the key. */
  readonly counts = new Map<string, number>();

  readonly log: string[] = [];

  /** When each backend server first named a limit in an answer to this entry. */
  readonly toldLimitAt = new Map<string, number>();

  /** Orders to move KV caches, in the order in which they were sent. */
  readonly moveOrders: SimulatedMoveOrder[] = [];

  /** Attempts that continued a stream at an engine that held nothing of its KV cache. */
  readonly resumedWithoutCache: string[] = [];

  /** False simulates a stopped process: no event reaches the entry. */
  alive = true;

  /** False simulates an entry that receives no lists of instances. */
  reachesPlatform = true;

  /** False simulates an entry that can neither tell the stores origins of streams nor ask for them. */
  reachesStores = true;

  private readonly connections = new Map<string, Connection>();

  /** Attempt whose tokens are relayed to the caller, by request. */
  private readonly currentAttemptIds = new Map<string, string>();

  /** Number of tokens in a moved KV cache, keyed by request and instance. */
  private readonly movedTokens = new Map<string, number>();

  constructor(
    private readonly cluster: SimulatedCluster,
    identity: Omit<EntryIdentity, 'incarnation'>,
  ) {
    this.instance = identity.instance;
    const incarnation = cluster.clock().wallNow;
    this.state = makeEntryState({ ...identity, incarnation });
  }

  send(event: EntryEventPayload): void {
    if (!this.alive) return;
    const timestamps: Timestamps = this.cluster.clock();
    reduceEntry(this.state, { ...event, ...timestamps }).forEach((effect) =>
      this.performEffect(effect),
    );
  }

  submitRequest(request: CallerRequest, brokenOff?: CallerRecord): CallerRecord {
    const caller = {
      request,
      arrivedAt: this.cluster.clock().now,
      tokens: [...(brokenOff?.tokens ?? [])],
      versions: new Set(brokenOff?.versions),
      finalAnswers: [],
    };
    this.callers.set(request.requestId, caller);
    this.send({ type: 'requestArrived', request });
    return caller;
  }

  /** Submits a request for the rest of a stream that broke off, as its caller does. */
  takeUp(brokenOff: CallerRecord, requestId: string): CallerRecord {
    const { request, tokens } = brokenOff;
    const firstRequestId = request.resumption?.firstRequestId ?? request.requestId;
    const resumption = { firstRequestId, afterEvent: String(tokens.length) };
    return this.submitRequest({ ...request, requestId, resumption }, brokenOff);
  }

  /** Stops the process: its callers' connections break. */
  kill(): void {
    this.alive = false;
    const { now } = this.cluster.clock();
    this.callers.forEach(({ finalAnswers }) => {
      if (finalAnswers.length === 0) finalAnswers.push({ type: 'gone', at: now });
    });
    [...this.connections.keys()].forEach((attemptId) => this.closeConnection(attemptId));
  }

  /** Fails connections that were idle for longer than their time-out. */
  failStalledConnections(): void {
    const { now } = this.cluster.clock();
    [...this.connections.values()]
      .filter(
        ({ timedOut, lastActivityAt, currentTimeout }) =>
          !timedOut && now - lastActivityAt >= currentTimeout,
      )
      .forEach((connection) => {
        connection.timedOut = true;
        this.failAttempt(connection, 'silent', 'maybe');
      });
  }

  count(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  private performEffect(effect: EntryEffect): void {
    switch (effect.type) {
      case 'startAttempt':
        this.startAttempt(effect);
        return;
      case 'cancelAttempt':
        this.closeConnection(effect.attemptId);
        return;
      case 'moveCache':
        this.moveCache(effect);
        return;
      case 'finishAnswer':
        this.finishAnswer(effect);
        return;
      case 'answerProblem':
        this.answerProblem(effect);
        return;
      case 'probe':
        this.probe(effect.target.instance);
        return;
      case 'reportToEntries':
        this.cluster.deliverReport(this, effect.report);
        return;
      case 'tellWork':
        this.cluster.deliverWorkReport(this, effect.work);
        return;
      case 'proposeCommand':
        this.cluster.applyCrashReport(effect.command as ReportCrashCommand);
        return;
      case 'proposeClaim':
        this.grantClaim(effect);
        return;
      case 'shareStreamOrigins':
        this.cluster.keepOrigins(this, effect.origins);
        return;
      case 'findStreamOrigin':
        this.findOrigin(effect);
        return;
      case 'readInstances':
        this.cluster.readList(this);
        return;
      case 'count':
        this.addCount(effect);
        return;
      case 'log':
        this.log.push(
          `${this.cluster.clock().now} ${effect.event} ${JSON.stringify(effect.fields)}`,
        );
        return;
      default:
        this.logShutdownReady(effect);
    }
  }

  private logShutdownReady(effect: { type: string }): void {
    if (effect.type === 'shutdownReady') this.log.push(`${this.cluster.clock().now} shutdownReady`);
  }

  private findOrigin({ requestId, firstRequestId }: Effect<'findStreamOrigin'>): void {
    this.cluster.findOrigin(this, firstRequestId, (answer) =>
      this.send({ type: 'streamOriginAnswered', requestId, ...answer }),
    );
  }

  /** Simulates a store that grants every claim command. */
  private grantClaim({ requestId, command }: Effect<'proposeClaim'>): void {
    const types = {
      openClaim: 'claimOpened',
      releaseClaim: 'claimReleased',
      settleClaim: 'claimSettled',
    } as const;
    const type = types[command.type];
    const answer = { type: 'result', result: { type } } as const;
    this.cluster.schedule(1, () => {
      this.send({ type: 'claimAnswered', requestId, command: command.type, answer });
    });
  }

  private addCount({ metric, label = '', amount = 1 }: Effect<'count'>): void {
    const key = `${metric}/${label}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
  }

  private startAttempt(effect: Effect<'startAttempt'>): void {
    const caller = this.callers.get(effect.requestId);
    if (caller === undefined) throw new Error(`no caller for ${effect.requestId}`);
    const { instance } = effect.target;
    const connection: Connection = {
      attemptId: effect.attemptId,
      caller,
      instance,
      isPlainService: effect.target.kind === 'plainService',
      ownTokens: [],
      lastActivityAt: this.cluster.clock().now,
      currentTimeout: effect.firstByteTimeout,
      idleTimeout: effect.streamIdleTimeout,
      hasFirstToken: false,
      lastProgressAt: 0,
      timedOut: false,
    };
    this.connections.set(effect.attemptId, connection);
    this.currentAttemptIds.set(effect.requestId, effect.attemptId);
    this.connectTo(
      instance,
      () => this.connect(connection, effect),
      () => this.failAttempt(connection, 'connectFailed', 'nothing'),
    );
  }

  /** Establishes a connection to an engine; calls neither function if that hangs. */
  private connectTo(instance: string, onConnected: () => void, onRefused: () => void): void {
    const outcome = this.cluster.paths.connect(this, instance);
    if (outcome.type === 'hangs') return;
    if (outcome.type === 'refused') {
      this.cluster.schedule(1, onRefused);
      return;
    }
    const { after, relay } = outcome;
    this.cluster.schedule(after, () => {
      if (relay !== undefined && !this.state.paths.lost.has(instance)) {
        this.send({ type: 'serverPathChanged', backendServer: instance, isLost: true, relay });
      }
      onConnected();
    });
  }

  /** What happens to the open connections to an engine when the path to it is cut. */
  breakConnections(instance: string, kind: PathCut): void {
    if (kind === 'newOnly') return;
    const engine = this.cluster.engine(instance);
    [...engine.streams.values()]
      .filter(({ attemptId }) => this.connections.has(attemptId))
      .forEach((stream) => {
        if (kind === 'silent') {
          stream.stalled = true;
          return;
        }
        engine.streams.delete(stream.attemptId);
        stream.listener.lost();
      });
  }

  private connect(connection: Connection, effect: Effect<'startAttempt'>): void {
    const { attemptId, caller } = connection;
    if (this.connections.get(attemptId) !== connection) return;
    const engine = this.cluster.engines.get(connection.instance);
    if (engine === undefined || !engine.alive) {
      this.failAttempt(connection, 'connectFailed', 'nothing');
      return;
    }
    this.send({ type: 'attemptSent', attemptId });
    const restFor = engine.busy ? engine.restFor : undefined;
    const { now } = this.cluster.clock();
    engine.arrivals.push({ at: now, entry: this.instance, attemptId, restFor });
    if (engine.rejects(now)) {
      this.receiveStatement(engine, restFor);
      this.failAttempt(connection, 'busy', 'maybe');
      return;
    }
    const { request } = caller;
    const isResumed = effect.resumeFromTokens > 0 || request.resumption !== undefined;
    const position = isResumed ? caller.tokens.length : 0;
    const cached = this.movedTokens.get(`${request.requestId}@${connection.instance}`) ?? 0;
    if (isResumed && cached === 0) this.resumedWithoutCache.push(attemptId);
    const listener = this.listen(connection);
    const streamFields = {
      attemptId,
      request,
      listener,
      position,
      remainingPrefillMilliseconds: 0,
      nextTokenProgress: 0,
    };
    engine.open({ ...streamFields, stalled: false }, cached);
  }

  private listen(connection: Connection): EngineListener {
    return {
      token: (position, token) => this.handleToken(connection, position, token),
      finished: () => this.handleFinished(connection),
      lost: () =>
        this.cluster.schedule(1, () => this.failAttempt(connection, 'connectionLost', 'maybe')),
    };
  }

  private handleToken(connection: Connection, position: number, token: string): void {
    const { attemptId, caller } = connection;
    const { now } = this.cluster.clock();
    if (this.connections.get(attemptId) !== connection) return;
    connection.lastActivityAt = now;
    connection.currentTimeout = connection.idleTimeout;
    connection.ownTokens.push(token);
    if (this.currentAttemptIds.get(caller.request.requestId) !== attemptId) return;
    if (!connection.hasFirstToken) {
      connection.hasFirstToken = true;
      caller.firstTokenAt ??= now;
      this.receiveStatement(this.cluster.engine(connection.instance));
      this.send({ type: 'firstTokenReceived', attemptId, isEventStream: true });
    }
    if (position >= caller.tokens.length && caller.finalAnswers.length === 0) {
      caller.tokens.push(token);
      const { version } = this.cluster.engine(connection.instance);
      if (version !== undefined) caller.versions.add(version);
    }
    if (now - connection.lastProgressAt < PROGRESS_INTERVAL_MILLISECONDS) return;
    connection.lastProgressAt = now;
    this.send({ type: 'attemptProgressed', attemptId, tokens: caller.tokens.length });
  }

  /** Reads what the engine says about itself in the head of an answer. */
  private receiveStatement(engine: SimulatedEngine, restFor?: number): void {
    const { instance, requestsPerSecond, survivedRejections, isLeaving, streams } = engine;
    const timeFactor = engine.stateTimeFactor();
    if (timeFactor !== undefined) {
      const load = { running: streams.size, queued: 0, timeFactor };
      const measuredAt = this.cluster.clock().wallNow;
      this.send({ type: 'loadReported', report: { instance, measuredAt, ...load } });
    }
    const statement = { instance, requestsPerSecond, survivedRejections, restFor, isLeaving };
    if (requestsPerSecond < Infinity && !this.toldLimitAt.has(instance)) {
      this.toldLimitAt.set(instance, this.cluster.clock().now);
    }
    if (isStatementOfInterest(this.state, statement)) {
      this.send({ type: 'serverStated', ...statement });
    }
  }

  private handleFinished(connection: Connection): void {
    const { attemptId, caller } = connection;
    if (this.connections.get(attemptId) !== connection) return;
    this.send({ type: 'attemptFinished', attemptId, tokens: caller.tokens.length });
    this.connections.delete(attemptId);
  }

  private failAttempt(
    connection: Connection,
    failure: 'connectFailed' | 'connectionLost' | 'silent' | 'busy',
    sent: 'nothing' | 'maybe',
  ): void {
    const { attemptId, caller } = connection;
    if (this.connections.get(attemptId) !== connection) return;
    const tokens = caller.tokens.length;
    const mayStillAnswer = failure === 'silent' && tokens === 0;
    if (!mayStillAnswer) this.closeConnection(attemptId);
    const answerStarted = connection.isPlainService && tokens > 0;
    this.send({ type: 'attemptFailed', attemptId, failure, sent, tokens, answerStarted });
  }

  private closeConnection(attemptId: string): void {
    const connection = this.connections.get(attemptId);
    if (connection === undefined) return;
    this.connections.delete(attemptId);
    const { streams } = this.cluster.engines.get(connection.instance) ?? {};
    // The engine does not see a cancel on a stalled connection and continues to generate.
    if (streams?.get(attemptId)?.stalled !== true) streams?.delete(attemptId);
  }

  private moveCache(effect: Effect<'moveCache'>): void {
    const { requestId, attemptId, moveNumber, from, to } = effect;
    const caller = this.callers.get(requestId);
    if (caller === undefined) return;
    const tokens = caller.tokens.length;
    const cachedTokens = caller.request.promptTokens + tokens;
    const { now } = this.cluster.clock();
    const order = {
      at: now,
      requestId,
      attemptId,
      from: from.instance,
      to: to.instance,
      moveNumber,
      isAnswered: false,
    };
    this.moveOrders.push(order);
    const answer = this.cluster.answerMove?.(order);
    const runStopped = answer?.runStopped;
    if (this.cluster.movesStopRuns) this.cluster.engine(from.instance).streams.delete(attemptId);
    this.cluster.schedule(answer?.after ?? this.cluster.moveDuration(cachedTokens), () => {
      order.isAnswered = true;
      const alive = (instance: string) => this.cluster.engines.get(instance)?.alive === true;
      const succeeds = answer?.moved ?? (alive(from.instance) && alive(to.instance));
      const moved = !this.cluster.movesFail && succeeds;
      if (moved) this.movedTokens.set(`${requestId}@${to.instance}`, cachedTokens);
      this.send({
        type: 'cacheMoved',
        requestId,
        attemptId,
        moveNumber,
        moved,
        tokens,
        runStopped,
      });
      if (this.cluster.movesStopRuns && runStopped !== true) this.loseStoppedStream(attemptId);
    });
  }

  /** The end of a stream that a move has stopped is reported after the result of the move. */
  private loseStoppedStream(attemptId: string): void {
    const connection = this.connections.get(attemptId);
    if (connection !== undefined) this.failAttempt(connection, 'connectionLost', 'maybe');
  }

  private probe(instance: string): void {
    if (!this.cluster.probesAnswered) return;
    const fail = () => this.send({ type: 'probeAnswered', instance, answered: false });
    this.connectTo(instance, () => this.answerProbe(instance), fail);
  }

  private answerProbe(instance: string): void {
    const engine = this.cluster.engines.get(instance);
    if (engine !== undefined && !engine.alive && engine.unreachableWhenDead) return;
    const answer = () => {
      if (engine?.alive === true) this.receiveStatement(engine);
      this.send({ type: 'probeAnswered', instance, answered: engine?.alive === true });
    };
    const { silentFor = 0 } = engine ?? {};
    if (silentFor > 0) this.cluster.schedule(silentFor, answer);
    else answer();
  }

  private finishAnswer({ requestId, attemptId = '' }: Effect<'finishAnswer'>): void {
    const caller = this.callers.get(requestId);
    if (caller === undefined) throw new Error(`no caller for ${requestId}`);
    const isCurrent = this.currentAttemptIds.get(requestId) === attemptId;
    const tokens = isCurrent ? caller.tokens : (this.connections.get(attemptId)?.ownTokens ?? []);
    caller.finalAnswers.push({
      type: 'whole',
      at: this.cluster.clock().now,
      text: tokens.join(''),
    });
  }

  private answerProblem(effect: Effect<'answerProblem'>): void {
    const { kind, ran, retryAfterMilliseconds } = effect;
    const at = this.cluster.clock().now;
    const finalAnswer = { type: 'problem', at, kind, ran, retryAfterMilliseconds } as const;
    this.callers.get(effect.requestId)?.finalAnswers.push(finalAnswer);
  }
}
