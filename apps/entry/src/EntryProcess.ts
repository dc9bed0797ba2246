/**
 * One running entry: it feeds the reducer with events and carries out its effects.
 */
import type { PlatformAdapter } from '@hornbeampond/adapters';
import {
  makeEntryState,
  reduceEntry,
  buildDemandReports,
  type ClaimAnswer,
  type EntryEffect,
  type EntryEvent,
  type EntryEventPayload,
  type EntryState,
} from '@hornbeampond/entry-core';
import {
  EventLoop,
  Logger,
  Metrics,
  runCommonEffect,
  type RunningProcess,
  type TimerService,
  type Unsubscribe,
} from '@hornbeampond/runtime';
import {
  HornbeampondError,
  assertNever,
  type ClaimResult,
  type EntrySettings,
  type Milliseconds,
  type PeerReport,
  type PlatformInstance,
  type StoreAddress,
} from '@hornbeampond/schema';
import {
  fromSharedInstances,
  OperatorServer,
  StoreClient,
  toSharedInstances,
  type PeerContext,
} from '@hornbeampond/transport';
import { AdapterDirectory, type MakeAdapter } from './AdapterDirectory.js';
import { AttemptRunner } from './AttemptRunner.js';
import { BackendServerWatcher } from './BackendServerWatcher.js';
import type { CallProtocol } from './CallProtocol.js';
import type { CallerListener } from './CallerListener.js';
import { CallerServer, type CallerExchange } from './CallerServer.js';
import { EntryPeers } from './EntryPeers.js';
import { RelayServer } from './RelayServer.js';
import { TableApi } from './TableApi.js';

/** How often the reducer looks at what waits for time to pass. */
const TICK_MILLISECONDS = 50;

/** A claim command is given so long before it counts as unavailable or unsure. */
const CLAIM_MILLISECONDS = 2000;

/** Commands that nobody waits for are resent for so long. */
const COMMAND_MILLISECONDS = 60_000;

const PROBE_MILLISECONDS = 1000;

/** The last answers need this long to reach their callers before the platform's limit. */
const SHUTDOWN_MARGIN_MILLISECONDS = 500;

/** A starting entry that no store tells a configuration within this span asks its peers. */
const CUT_OFF_MILLISECONDS = 2000;

type ProposeClaim = Extract<EntryEffect, { type: 'proposeClaim' }>;

/** Ports that the process listens on, which matter where settings gave port 0. */
export interface EntryPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

/** How callers are spoken to whose calls are passed on as they are. */
export interface OpaqueCallOptions {
  readonly protocol: CallProtocol;
  /** Windows in which requests are counted for the usage report. */
  readonly usageWindow: Milliseconds;
}

/** What is outside an entry, and how it is spoken to. */
export interface EntryDependencies {
  readonly platform: PlatformAdapter;
  readonly makeAdapter: MakeAdapter;
  /** Without it callers speak the interface of this project. */
  readonly opaqueCalls?: OpaqueCallOptions;
}

export class EntryProcess implements RunningProcess {
  private readonly logger: Logger;

  private readonly metrics = new Metrics({ withProcessMetrics: true });

  private readonly adapters: AdapterDirectory;

  private readonly exchanges = new Map<string, CallerExchange>();

  private readonly loop: EventLoop<EntryState, EntryEvent, EntryEffect>;

  private readonly attempts: AttemptRunner;

  private readonly store: StoreClient;

  private readonly callers: CallerListener;

  private readonly operators: OperatorServer;

  private readonly peers: EntryPeers;

  private readonly watcher: BackendServerWatcher;

  private readonly incarnation: number;

  private readonly subscriptions: Unsubscribe[] = [];

  private requestCount = 0;

  private ready = false;

  private cutOff = false;

  private onShutdownReady: () => void = () => {};

  constructor(
    private readonly settings: EntrySettings,
    private readonly timers: TimerService,
    private readonly boundary: EntryDependencies,
  ) {
    const { instance, dataCentre } = settings;
    this.incarnation = timers.wallNow();
    this.logger = new Logger({ process: 'hornbeampond-entry', instance }, settings.logLevel);
    const { queuedRequests } = settings.limits;
    this.loop = new EventLoop(
      makeEntryState({
        instance,
        dataCentre,
        incarnation: this.incarnation,
        maxQueuedRequests: queuedRequests,
        usageWindow: boundary.opaqueCalls?.usageWindow,
      }),
      reduceEntry,
      (effect) => this.carryOut(effect),
      (error, event) => this.reportError(error, event.type),
    );
    this.adapters = new AdapterDirectory(boundary.makeAdapter);
    const dispatch = (occurrence: EntryEventPayload) => this.dispatch(occurrence);
    const readConfiguration = () => this.loop.state.configuration;
    this.attempts = new AttemptRunner({
      timers,
      adapters: this.adapters,
      findExchange: (requestId) => this.exchanges.get(requestId),
      dispatch,
    });
    const context = this.makePeerContext();
    this.store = new StoreClient(
      settings.stores,
      context,
      {
        onConfiguration: (configuration) => {
          this.cutOff = false;
          dispatch({ type: 'configurationReceived', configuration });
        },
        onQuarantine: (quarantine) => dispatch({ type: 'quarantineReceived', quarantine }),
        onEntryReport: (report) => dispatch({ type: 'entryReported', report }),
        onInstanceList: (instances, age) =>
          this.watcher.receiveInstances(fromSharedInstances(instances, timers.wallNow()), age),
        onPersistedState: (remembered) => dispatch({ type: 'knowledgeRemembered', remembered }),
        onWorkReport: (work) => dispatch({ type: 'workReported', work }),
        onSpendingReport: (spending) => dispatch({ type: 'spendingReported', spending }),
      },
      this.makeReport(0),
      this.findsPeersByStores,
    );
    this.peers = new EntryPeers({
      settings,
      context,
      readConfiguration,
      readDemand: () => buildDemandReports(this.loop.state, timers.monotonicNow()),
      onReport: (report) => this.receiveReport(report),
      onDrains: (drains) => dispatch({ type: 'drainsReceived', drains }),
    });
    this.watcher = new BackendServerWatcher({
      platform: boundary.platform,
      adapters: this.adapters,
      timers,
      logger: this.logger,
      pollMilliseconds: settings.platform.pollMilliseconds,
      readConfiguration,
      dispatch,
      countEntries: () => this.loop.state.membership.peers.size + 1,
      ...(this.findsPeersByStores
        ? { shareInstances: (instances) => this.shareInstances(instances) }
        : {}),
    });
    this.callers = this.makeCallers();
    const tables = new TableApi(settings, this.store);
    this.operators = new OperatorServer({
      metrics: this.metrics,
      isReady: () => this.isReady,
      readStatus: async () => this.readStatus(),
      handle: async (request, response, url) => tables.handle(request, response, url),
    });
  }

  /**
   * True while the balancer may send callers here. An entry that names its peers takes their
   * configuration if no store is there, and then serves an empty one too; one that finds all
   * through the stores has nothing to serve by before they have told it.
   */
  private get isReady(): boolean {
    return this.ready && (this.revision > 0 || !this.findsPeersByStores);
  }

  private get findsPeersByStores(): boolean {
    return this.settings.entries.length === 0;
  }

  private makeCallers(): CallerListener {
    const { settings, timers } = this;
    const { opaqueCalls } = this.boundary;
    const shared = {
      timers,
      makeRequestId: () => this.nameRequest(),
      onRequest: (exchange: CallerExchange) => this.takeRequest(exchange),
      onCallerDisconnect: (requestId: string) => this.dispatch({ type: 'callerGone', requestId }),
      onRefused: (error: unknown) => this.countRefusal(error),
    };
    if (opaqueCalls === undefined) return new CallerServer({ ...shared, settings });
    return new RelayServer({
      ...shared,
      listen: settings.listen,
      protocol: opaqueCalls.protocol,
      readBounds: () => this.loop.state.configuration.whole?.callerBounds,
      isInProgress: (requestId) => this.exchanges.has(requestId),
    });
  }

  /** Starts to serve; resolves once callers can connect. */
  async start(): Promise<EntryPorts> {
    this.logger.write('processStarted', { dataCentre: this.settings.dataCentre });
    this.subscriptions.push(
      this.timers.every(TICK_MILLISECONDS, () => this.dispatch({ type: 'tick' })),
      this.timers.after(CUT_OFF_MILLISECONDS, () => this.askPeersIfCutOff()),
    );
    const peers = await this.peers.listen();
    const operators = await this.operators.listen(this.settings.operatorListen);
    await this.watcher.start();
    const callers = await this.callers.listen();
    this.ready = true;
    this.logger.write('processReady', { callers, operators, peers });
    return { callers, operators, peers };
  }

  /** The revision of the configuration in force here. */
  get revision(): number {
    return this.loop.state.configuration.revision;
  }

  /**
   * Ends without cutting off a request: the balancer is told first and served for its delay, then
   * no new connection is taken, and the reducer says when nothing is in progress any more.
   */
  /** Seeks the stores that changed settings name, beside those it was told of. */
  useStores(addresses: readonly StoreAddress[]): void {
    this.store.setSeeds(addresses);
  }

  async shutDown(): Promise<void> {
    const { balancerDelayMilliseconds, shutdownMilliseconds } = this.settings;
    this.ready = false;
    this.callers.disableKeepAlive?.();
    this.logger.write('shutdownStarted', {});
    let cancelLimit: Unsubscribe = () => {};
    const settled = new Promise<void>((resolve) => {
      this.onShutdownReady = resolve;
      cancelLimit = this.timers.after(shutdownMilliseconds, resolve);
    });
    const now = this.timers.monotonicNow();
    const left = Math.max(0, shutdownMilliseconds - SHUTDOWN_MARGIN_MILLISECONDS);
    const acceptUntil = now + Math.min(balancerDelayMilliseconds, left);
    this.dispatch({ type: 'shutdownStarted', acceptUntil, endAt: now + left });
    this.timers.after(acceptUntil - now, () => this.callers.stopListening());
    await settled;
    cancelLimit();
    await this.close(SHUTDOWN_MARGIN_MILLISECONDS);
    this.logger.write('shutdownFinished', { requestsCut: this.exchanges.size });
  }

  /** Stops; answers that are being written get `patience` to reach their callers. */
  async close(patience: Milliseconds = 0): Promise<void> {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.store.close();
    await Promise.all([
      this.watcher.close(),
      this.peers.close(),
      this.callers.close(patience),
      this.operators.close(),
    ]);
    await this.adapters.close();
  }

  private dispatch(occurrence: EntryEventPayload): void {
    const now = this.timers.monotonicNow();
    this.loop.dispatch({ ...occurrence, now, wallNow: this.timers.wallNow() });
  }

  private makePeerContext(): PeerContext {
    const { cluster, clusterSecret, instance, dataCentre } = this.settings;
    return {
      identity: { cluster, instance, dataCentre, role: 'entry' },
      secret: clusterSecret,
      timers: this.timers,
      logger: this.logger,
      metrics: this.metrics,
      heartbeatMilliseconds: this.settings.peerHeartbeatMilliseconds,
    };
  }

  private makeReport(revision: number) {
    const { instance, dataCentre } = this.settings;
    return { instance, dataCentre, role: 'entry' as const, revision, cutOff: this.cutOff };
  }

  private receiveReport(report: PeerReport): void {
    switch (report.type) {
      case 'entryReport':
        this.dispatch({ type: 'entryReported', report });
        return;
      case 'spendingReport':
        this.dispatch({ type: 'spendingReported', spending: report });
        return;
      case 'workReport':
        this.dispatch({ type: 'workReported', work: report });
        return;
      default:
        assertNever(report);
    }
  }

  private shareInstances(instances: readonly PlatformInstance[]): void {
    this.store.shareInstances(toSharedInstances(instances, this.timers.wallNow()));
  }

  private nameRequest(): string {
    this.requestCount += 1;
    return `${this.settings.instance}-${this.incarnation.toString(36)}-${this.requestCount}`;
  }

  private takeRequest(exchange: CallerExchange): void {
    this.exchanges.set(exchange.request.requestId, exchange);
    this.metrics.setGauge('openStreams', this.exchanges.size);
    this.dispatch({ type: 'requestArrived', request: exchange.request });
  }

  private endExchange(requestId: string, end: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    this.exchanges.delete(requestId);
    this.metrics.setGauge('openStreams', this.exchanges.size);
    end(exchange);
  }

  private carryOut(effect: EntryEffect): void {
    if (runCommonEffect(effect, this.logger, this.metrics)) return;
    switch (effect.type) {
      case 'startAttempt':
        this.attempts.start(effect);
        return;
      case 'cancelAttempt':
        this.attempts.cancel(effect.attemptId);
        return;
      case 'moveCache':
        void this.attempts.moveCache(effect);
        return;
      case 'finishAnswer':
        this.endExchange(effect.requestId, ({ answer }) => answer.finish());
        return;
      case 'answerProblem': {
        const { kind, detail, requestId, retryAfterMilliseconds, ran } = effect;
        this.endExchange(requestId, ({ answer }) => {
          // The reducer's count is that of the last edge; the relay knows what the caller has.
          const { tokensGiven } = answer;
          const details = { retryAfterMilliseconds, ran, tokensGiven };
          answer.fail(new HornbeampondError(kind, detail, details));
        });
        return;
      }
      case 'replayAnswer':
        this.endExchange(effect.requestId, ({ answer }) => answer.replay(effect.answer));
        return;
      case 'proposeClaim':
        void this.proposeClaim(effect);
        return;
      case 'proposeCommand':
        void this.store.propose(effect.command, COMMAND_MILLISECONDS);
        return;
      case 'probe':
        void this.probe(effect.target);
        return;
      case 'reportToEntries':
        if (this.findsPeersByStores) this.store.shareReport(effect.report);
        else this.peers.sendReport(effect.report);
        return;
      case 'tellWork':
        if (this.findsPeersByStores) this.store.shareWork(effect.work);
        else this.peers.sendReport(effect.work);
        return;
      case 'tellSpending':
        if (this.findsPeersByStores) this.store.shareSpending(effect.spending);
        else this.peers.sendReport(effect.spending);
        return;
      case 'configurationApplied':
        this.callers.applyBounds?.();
        this.store.updateReport(this.makeReport(effect.revision));
        return;
      case 'shutdownReady':
        this.onShutdownReady();
        return;
      default:
        assertNever(effect);
    }
  }

  private async proposeClaim({ requestId, command }: ProposeClaim): Promise<void> {
    const outcome = await this.store.propose(command, CLAIM_MILLISECONDS);
    const answer: ClaimAnswer =
      outcome.type === 'result'
        ? { type: 'result', result: outcome.result as ClaimResult }
        : outcome;
    this.dispatch({ type: 'claimAnswered', requestId, command: command.type, answer });
  }

  private async probe(target: Extract<EntryEffect, { type: 'probe' }>['target']): Promise<void> {
    const { instance } = target;
    try {
      const signal = AbortSignal.timeout(PROBE_MILLISECONDS);
      const signOfLife = await this.adapters.getOrCreate(target).adapter.probe(signal);
      this.dispatch({ type: 'probeAnswered', instance, answered: true, ...signOfLife });
    } catch {
      this.dispatch({ type: 'probeAnswered', instance, answered: false });
    }
  }

  /** A cut-off data centre still has to serve: its starting entry takes what its peers know. */
  private askPeersIfCutOff(): void {
    if (this.revision > 0) return;
    void this.peers.peekConfigurations().then((configurations) => {
      if (this.revision > 0) return;
      configurations.forEach((configuration) => {
        if (configuration.revision === 0) return;
        this.cutOff = true;
        this.dispatch({ type: 'configurationReceived', configuration });
      });
      this.subscriptions.push(
        this.timers.after(CUT_OFF_MILLISECONDS, () => this.askPeersIfCutOff()),
      );
    });
  }

  private countRefusal(error: unknown): void {
    const kind = error instanceof HornbeampondError ? error.kind : 'internalError';
    this.metrics.count({ metric: 'refusals', label: kind });
    if (kind === 'internalError') this.reportError(error, 'request');
  }

  private reportError(error: unknown, at: string): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.logger.write('unexpectedError', { at, reason });
  }

  /** Price of an instance; undefined if its pool or class is in no table. */
  private findPrice({ pool, instanceClass }: PlatformInstance): number | undefined {
    const rows = this.loop.state.configuration.pools.rows.filter(({ name }) => name === pool);
    const classes = rows.flatMap(({ instanceClasses }) => instanceClasses);
    return classes.find(({ name }) => name === instanceClass)?.eurosPerHour;
  }

  private async readStatus(): Promise<unknown> {
    const { state } = this.loop;
    return {
      instance: this.settings.instance,
      dataCentre: this.settings.dataCentre,
      ready: this.isReady,
      cutOff: this.cutOff,
      configurationRevision: this.revision,
      openStreams: this.exchanges.size,
      backendServers: [...state.backendServers.values()].map(
        ({ platformInstance: listed, goneAt, attemptIds }) => ({
          instance: listed.instance,
          pool: listed.pool,
          dataCentre: listed.dataCentre,
          state: goneAt === undefined ? listed.state : 'leaving',
          inProgress: attemptIds.size,
          eurosPerHour: this.findPrice(listed),
        }),
      ),
      refusals: await this.metrics.readCounter('refusals'),
      retries: await this.metrics.readCounter('retries'),
      recomputedTokens: await this.metrics.readCounter('recomputedTokens'),
      stores: await this.store.readStatus(),
    };
  }
}
