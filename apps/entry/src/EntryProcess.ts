/**
 * A running entry: it connects the servers, clients and adapters to the reducer, dispatches events to
 * the reducer and carries out the effects it returns. It also starts and shuts down the process.
 */
import { performance } from 'node:perf_hooks';
import {
  SkippedInstanceReport,
  type PlatformAdapter,
  type ServerConnector,
} from '@hornbeampond/adapters';
import {
  TICK_INTERVAL_MILLISECONDS,
  makeEntryState,
  reduceEntry,
  buildDemandReports,
  describeShares,
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
  describeError,
  runCommonEffect,
  type RunningProcess,
  type TimerService,
  type Unsubscribe,
} from '@hornbeampond/runtime';
import {
  HornbeampondError,
  assertNever,
  type CallerCloseReason,
  type ClaimResult,
  type EpochMilliseconds,
  type EntrySettings,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PeerReport,
  type PlatformInstance,
  type ProcessAddress,
} from '@hornbeampond/schema';
import {
  fromSharedInstances,
  OperatorServer,
  StoreClient,
  toSharedInstances,
  type HeldBytes,
  type PeerContext,
} from '@hornbeampond/transport';
import { AdapterDirectory, type MakeAdapter } from './AdapterDirectory.js';
import { AttemptRunner } from './AttemptRunner.js';
import { CacheMover } from './CacheMover.js';
import { BackendServerWatcher } from './BackendServerWatcher.js';
import type { CallProtocol } from './CallProtocol.js';
import { CallerConnectionReport } from './CallerConnectionReport.js';
import type { CallerListener } from './CallerListener.js';
import { CallerServer, type CallerExchange } from './CallerServer.js';
import { chooseConnectionLimits } from './chooseConnectionLimits.js';
import { describeBackendServers } from './describeBackendServers.js';
import { describeFailedEffect } from './describeFailedEffect.js';
import { EntryPeers } from './EntryPeers.js';
import { EventTimeWatch } from './EventTimeWatch.js';
import { EntryPaths } from './paths/EntryPaths.js';
import { InputClock } from './InputClock.js';
import { OpenExchanges } from './OpenExchanges.js';
import { RelayServer } from './RelayServer.js';
import { afterPendingInput, RequestIntake } from './RequestIntake.js';
import { StateSharing } from './StateSharing.js';
import { StopOrders } from './StopOrders.js';
import { StatementReceiver } from './StatementReceiver.js';
import { RolloutApi } from './RolloutApi.js';
import { TableApi } from './TableApi.js';

/**
 * If a claim command has no result within this time, it is answered as `unavailable` (certainly not
 * in the log) or `unsure` (may be in the log).
 */
const CLAIM_TIMEOUT_MILLISECONDS = 2000;

/** How long a command is resent if no request waits for its result. */
const COMMAND_TIMEOUT_MILLISECONDS = 60_000;

const PROBE_TIMEOUT_MILLISECONDS = 1000;

/** By how much more than the age of the list a reclaim may come earlier than announced. */
const NOTICE_MARGIN_MILLISECONDS = 250;

/** Reserved before the shutdown time limit for writing the last answers. */
const SHUTDOWN_MARGIN_MILLISECONDS = 500;

/** A timer may fire by less than this too early. */
const TIMER_TOLERANCE_MILLISECONDS = 1;

/** Of a short time limit, answers in progress get all but this fraction. */
const MAX_SHUTDOWN_MARGIN_FRACTION = 1 / 12;

/** How long a stopping entry waits for others that use its tunnels to go elsewhere. */
const TUNNEL_DRAIN_MILLISECONDS = 3000;

/** After this time without a configuration from the stores, an entry asks its peers. */
const STORE_CONFIGURATION_TIMEOUT_MILLISECONDS = 2000;

type ProposeClaimEffect = Extract<EntryEffect, { type: 'proposeClaim' }>;

/** The ports that the process listens on; chosen by the system where the settings have port 0. */
export interface EntryPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

/** Options for callers whose calls are relayed without being interpreted. */
export interface OpaqueCallOptions {
  readonly protocol: CallProtocol;
  /** Length of the windows in which requests are counted for the usage report. */
  readonly usageWindow: Milliseconds;
}

/** The platform, backend server and caller interfaces that an entry uses. */
export interface EntryDependencies {
  readonly platform: PlatformAdapter;
  readonly makeAdapter: MakeAdapter;
  /** Opens connections to backend servers from this process; to their addresses if undefined. */
  readonly connector?: ServerConnector;
  /** If undefined, callers use this project's own API. */
  readonly opaqueCalls?: OpaqueCallOptions;
}

export class EntryProcess implements RunningProcess {
  private readonly logger: Logger;

  private readonly metrics = new Metrics({ withProcessMetrics: true });

  private readonly adapters: AdapterDirectory;

  private readonly exchanges = new OpenExchanges({
    onCountChange: (count) => this.metrics.setGauge('openStreams', count),
    dispatch: (payload) => this.dispatch(payload),
  });

  private readonly eventTimeWatch: EventTimeWatch;

  private readonly inputClock: InputClock;

  private readonly requestIntake: RequestIntake;

  private readonly eventLoop: EventLoop<EntryState, EntryEvent, EntryEffect>;

  private readonly attemptRunner: AttemptRunner;

  private readonly cacheMover: CacheMover;

  private readonly storeClient: StoreClient;

  private readonly callerListener: CallerListener;

  private readonly callerReport: CallerConnectionReport;

  private readonly operatorServer: OperatorServer;

  private readonly peers: EntryPeers;

  private readonly sharing: StateSharing;

  private readonly watcher: BackendServerWatcher;

  private readonly paths: EntryPaths;

  private readonly incarnation: number;

  private readonly subscriptions: Unsubscribe[] = [];

  private requestCount = 0;

  private isServing = false;

  /** True while this process is slow and others can serve its callers. */
  private isWithdrawn = false;

  /** True after a peer's configuration was applied, until the stores send one. */
  private isPartitionedFromStores = false;

  private onShutdownReady: () => void = () => {};

  constructor(
    private readonly settings: EntrySettings,
    private readonly timers: TimerService,
    private readonly dependencies: EntryDependencies,
  ) {
    const { instance, dataCentre } = settings;
    this.incarnation = timers.wallNow();
    this.logger = new Logger({ process: 'hornbeampond-entry', instance }, settings.logLevel);
    const readNow = () => timers.monotonicNow();
    this.callerReport = new CallerConnectionReport(this.logger, this.metrics);
    this.eventTimeWatch = new EventTimeWatch(readNow());
    this.inputClock = new InputClock(readNow, () => performance.eventLoopUtilization().idle);
    this.requestIntake = new RequestIntake({
      clock: this.inputClock,
      readNow,
      afterPendingInput,
      onRequest: ({ request }, arrivedAt) =>
        this.dispatch({ type: 'requestArrived', request, arrivedAt }),
      onCallerLeft: (requestId) => this.endCallOfLeftCaller(requestId),
    });
    const { queuedRequests } = settings.limits;
    this.eventLoop = new EventLoop(
      makeEntryState({
        instance,
        dataCentre,
        incarnation: this.incarnation,
        maxQueuedRequests: queuedRequests,
        usageWindow: dependencies.opaqueCalls?.usageWindow,
      }),
      reduceEntry,
      (effect) => this.applyEffect(effect),
      (error, event) => this.recoverFromEvent(error, event),
    );
    const dispatch = (payload: EntryEventPayload) => this.dispatch(payload);
    const statementReceiver = new StatementReceiver({
      timers,
      logger: this.logger,
      readState: () => this.eventLoop.state,
      dispatch,
      countUnreadable: () => this.metrics.count({ metric: 'unreadableStatements' }),
    });
    const skippedInstances = new SkippedInstanceReport({
      timers,
      logger: this.logger,
      metrics: this.metrics,
    });
    dependencies.platform.onSkipped = (skipped) => skippedInstances.record(skipped);
    this.paths = new EntryPaths({
      settings,
      timers,
      logger: this.logger,
      metrics: this.metrics,
      direct: dependencies.connector,
      readState: () => this.eventLoop.state,
      dispatch,
      renewConnections: (server) => this.adapters.renewConnections(server),
    });
    this.adapters = new AdapterDirectory(
      dependencies.makeAdapter,
      (server, statement) => statementReceiver.receive(server, statement),
      this.paths.connector,
    );
    const readConfiguration = () => this.eventLoop.state.configuration;
    const stopOrders = new StopOrders();
    const findExchange = (requestId: string) => this.exchanges.find(requestId);
    this.cacheMover = new CacheMover({
      timers,
      adapters: this.adapters,
      logger: this.logger,
      metrics: this.metrics,
      stopOrders,
      findExchange,
      dispatch,
    });
    this.attemptRunner = new AttemptRunner({
      timers,
      adapters: this.adapters,
      stopOrders,
      findExchange,
      mayHaveEnded: (server) => {
        const goneAt = this.eventLoop.state.reclaims.leaving.get(server) ?? Infinity;
        const uncertainty = settings.platform.listLagMilliseconds + NOTICE_MARGIN_MILLISECONDS;
        return timers.wallNow() >= goneAt - uncertainty;
      },
      findMovedCache: (attemptId) => this.cacheMover.findMovedCache(attemptId),
      dispatch,
      onCallerLeft: (requestId) => this.endCallOfLeftCaller(requestId),
    });
    const context = this.makePeerContext();
    this.storeClient = new StoreClient(
      settings.stores,
      context,
      {
        onConfiguration: (configuration, age) => {
          this.isPartitionedFromStores = false;
          dispatch({ type: 'configurationReceived', configuration, age });
        },
        onQuarantine: (quarantine) => dispatch({ type: 'quarantineReceived', quarantine }),
        onEntryDigest: (digest, isWhole) =>
          dispatch({ type: 'entryDigestReceived', digest, isWhole }),
        onEntryReport: (report) => dispatch({ type: 'entryReported', report }),
        onInstanceList: (instances, age, readAt) => {
          const received = fromSharedInstances(instances, timers.wallNow());
          this.watcher.receiveInstances(received, age, readAt);
        },
        onPersistedState: (remembered, askedAt) =>
          dispatch({ type: 'knowledgeRemembered', remembered, askedAt }),
        onWorkReport: (work) => dispatch({ type: 'workReported', work }),
        onSpendingReport: (spending) => dispatch({ type: 'spendingReported', spending }),
        // Only callers of opaque calls take up streams.
        ...(dependencies.opaqueCalls === undefined
          ? {}
          : { onOriginStores: () => dispatch({ type: 'originStoresChanged' }) }),
      },
      this.makeInstanceReport(0),
      this.exchangesReportsThroughStores,
    );
    this.peers = new EntryPeers({
      settings,
      context,
      readConfiguration,
      readDemand: () => buildDemandReports(this.eventLoop.state, timers.monotonicNow()),
      onReport: (report) => this.receiveReport(report),
      onDrains: (drains) => dispatch({ type: 'drainsReceived', drains }),
    });
    this.sharing = new StateSharing({
      timers,
      storeClient: this.storeClient,
      peers: this.peers,
      throughStores: this.exchangesReportsThroughStores,
      dispatch,
    });
    this.watcher = new BackendServerWatcher({
      platform: dependencies.platform,
      adapters: this.adapters,
      timers,
      logger: this.logger,
      pollMilliseconds: settings.platform.pollMilliseconds,
      listLagMilliseconds: settings.platform.listLagMilliseconds,
      readConfiguration,
      dispatch,
      countEntries: () => this.eventLoop.state.membership.peers.size + 1,
      ...(this.exchangesReportsThroughStores
        ? { shareInstances: (instances, readAt) => this.shareInstances(instances, readAt) }
        : {}),
    });
    this.callerListener = this.makeCallerListener();
    const tableApi = new TableApi(settings, this.storeClient);
    const rolloutApi = new RolloutApi(settings, this.storeClient);
    this.operatorServer = new OperatorServer({
      metrics: this.metrics,
      isReady: () => this.isReady,
      readStatus: async () => this.readStatus(),
      handle: async (request, response, url) =>
        (await tableApi.handle(request, response, url)) ||
        rolloutApi.handle(request, response, url),
    });
  }

  /**
   * True while the load balancer may send requests here. An entry that exchanges reports through the
   * stores is ready only once it has a configuration; other entries are ready without one.
   */
  private get isReady(): boolean {
    if (!this.isServing || this.isWithdrawn) return false;
    return this.revision > 0 || !this.exchangesReportsThroughStores;
  }

  /** True if the settings list no entries; this entry then does not connect to its peers. */
  private get exchangesReportsThroughStores(): boolean {
    return this.settings.entries.length === 0;
  }

  private makeCallerListener(): CallerListener {
    const { settings, timers } = this;
    const { opaqueCalls } = this.dependencies;
    const commonOptions = {
      timers,
      makeRequestId: () => this.makeRequestId(),
      onConnection: () => this.requestIntake.recordConnection(),
      onRequest: (exchange: CallerExchange) => this.receiveRequest(exchange),
      onCallerDisconnect: (requestId: string) => this.endCallOfLeftCaller(requestId),
      limits: chooseConnectionLimits(settings.limits),
      onRefused: (error: unknown) => this.countRefusal(error),
      onClosing: (reason: CallerCloseReason) => this.callerReport.recordClose(reason),
      onMeasured: (held: HeldBytes) => this.callerReport.recordHeld(held),
    };
    if (opaqueCalls === undefined) return new CallerServer({ ...commonOptions, settings });
    return new RelayServer({
      ...commonOptions,
      listen: settings.listen,
      protocol: opaqueCalls.protocol,
      readBounds: () => this.eventLoop.state.configuration.whole?.callerBounds,
      isInProgress: (requestId) => this.exchanges.has(requestId),
    });
  }

  /** Starts the servers; resolves once callers can connect. */
  async start(): Promise<EntryPorts> {
    this.logger.write('processStarted', { dataCentre: this.settings.dataCentre });
    this.subscriptions.push(
      this.timers.every(TICK_INTERVAL_MILLISECONDS, () => this.tick()),
      this.timers.after(STORE_CONFIGURATION_TIMEOUT_MILLISECONDS, () =>
        this.readPeerConfigurationsIfUnconfigured(),
      ),
    );
    const peers = await this.peers.listen();
    const operators = await this.operatorServer.listen(this.settings.operatorListen);
    await this.paths.listen();
    await this.watcher.start();
    const callers = await this.callerListener.listen();
    this.isServing = true;
    this.logger.write('processReady', { callers, operators, peers });
    return { callers, operators, peers };
  }

  /** Revision of the configuration in effect; 0 before there is one. */
  get revision(): number {
    return this.eventLoop.state.configuration.revision;
  }

  /** Uses `addresses` instead of the store addresses that the process was started with. */
  useStores(addresses: readonly ProcessAddress[]): void {
    this.storeClient.setSeeds(addresses);
  }

  /**
   * Shuts down gracefully: becomes unready, accepts requests for the load balancer's delay, then
   * stops listening. The reducer ends what is still in progress shortly before the time limit. Closes
   * once nothing is in progress; if the reducer does not report that, at the time limit.
   */
  async shutDown(): Promise<void> {
    const { balancerDelayMilliseconds, shutdownMilliseconds } = this.settings;
    this.isServing = false;
    this.callerListener.setKeepAlive?.(false);
    this.logger.write('shutdownStarted', {});
    let cancelLimit: Unsubscribe = () => {};
    const drainedOrTimedOut = new Promise<void>((resolve) => {
      this.onShutdownReady = resolve;
      cancelLimit = this.timers.after(shutdownMilliseconds, resolve);
    });
    const now = this.timers.monotonicNow();
    const margin = Math.min(
      SHUTDOWN_MARGIN_MILLISECONDS,
      shutdownMilliseconds * MAX_SHUTDOWN_MARGIN_FRACTION,
    );
    const drainMilliseconds = shutdownMilliseconds - margin;
    const acceptUntil = now + Math.min(balancerDelayMilliseconds, drainMilliseconds);
    this.dispatch({ type: 'shutdownStarted', acceptUntil, endAt: now + drainMilliseconds });
    this.timers.after(acceptUntil - now, () => this.callerListener.stopListening());
    // A regular tick could come up to an interval later, when little of the margin is left.
    const lastTickAfter = drainMilliseconds + TIMER_TOLERANCE_MILLISECONDS;
    this.subscriptions.push(
      this.timers.after(lastTickAfter, () => this.dispatch({ type: 'tick' })),
    );
    await drainedOrTimedOut;
    const timeLeft = now + drainMilliseconds - this.timers.monotonicNow();
    await this.paths.drain(Math.min(TUNNEL_DRAIN_MILLISECONDS, timeLeft));
    cancelLimit();
    await this.close(margin);
    this.logger.write('shutdownFinished', { requestsCut: this.exchanges.size });
  }

  /** Closes all servers, clients and adapters; open answers may take until `timeout`. */
  async close(timeout: Milliseconds = 0): Promise<void> {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.storeClient.close();
    await Promise.all([
      this.watcher.close(),
      this.peers.close(),
      this.callerListener.close(timeout),
      this.operatorServer.close(),
      this.paths.close(),
    ]);
    await this.adapters.close();
  }

  private dispatch(payload: EntryEventPayload): void {
    const now = this.timers.monotonicNow();
    this.eventLoop.dispatch({ ...payload, now, wallNow: this.timers.wallNow() });
    this.recordEventTime(payload.type, now);
  }

  private recordEventTime(event: string, startedAt: MonotonicMilliseconds): void {
    const now = this.timers.monotonicNow();
    const duration = now - startedAt;
    this.metrics.count({ metric: 'eventTime', label: event, amount: duration / 1000 });
    const change = this.eventTimeWatch.record(event, duration, now);
    if (change === undefined) return;
    const { isBusy, ...fields } = change;
    const suspects = this.eventLoop.state.quarantine.suspects.size;
    this.logger.write(isBusy ? 'eventsTakeLong' : 'eventsTakeLittle', { ...fields, suspects });
  }

  private tick(): void {
    this.inputClock.recordTick();
    this.dispatch({ type: 'tick' });
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

  private makeInstanceReport(revision: number) {
    const { instance, dataCentre } = this.settings;
    return {
      instance,
      dataCentre,
      role: 'entry' as const,
      revision,
      cutOff: this.isPartitionedFromStores,
    };
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

  private shareInstances(instances: readonly PlatformInstance[], readAt: EpochMilliseconds): void {
    this.storeClient.shareInstances(toSharedInstances(instances, this.timers.wallNow()), readAt);
  }

  private makeRequestId(): string {
    this.requestCount += 1;
    return `${this.settings.instance}-${this.incarnation.toString(36)}-${this.requestCount}`;
  }

  private receiveRequest(exchange: CallerExchange): void {
    this.exchanges.add(exchange);
    this.requestIntake.add(exchange);
  }

  private endCallOfLeftCaller(requestId: string): void {
    const wasHeld = this.requestIntake.remove(requestId);
    if (!wasHeld) this.dispatch({ type: 'callerGone', requestId });
    // A claimed call goes on without its caller, since its outcome is recorded.
    if (!this.eventLoop.state.requests.has(requestId)) this.exchanges.end(requestId, () => {});
  }

  private applyEffect(effect: EntryEffect): void {
    try {
      this.runEffect(effect);
    } catch (error) {
      this.logger.write('effectFailed', describeFailedEffect(effect, error));
      this.exchanges.endAfterFailedEffect(effect);
    }
  }

  private recoverFromEvent(error: unknown, event: EntryEvent): void {
    this.logUnexpectedError(error, event.type);
    this.exchanges.endAfterFailedEvent(event, error);
  }

  private runEffect(effect: EntryEffect): void {
    if (runCommonEffect(effect, this.logger, this.metrics)) return;
    switch (effect.type) {
      case 'startAttempt':
        this.attemptRunner.start(effect);
        return;
      case 'cancelAttempt':
        this.attemptRunner.cancel(effect.attemptId);
        return;
      case 'moveCache':
        void this.cacheMover.move(effect);
        return;
      case 'finishAnswer':
        if (effect.attemptId !== undefined) this.attemptRunner.passOnAnswer(effect.attemptId);
        this.exchanges.end(effect.requestId, ({ answer }) => answer.finish());
        return;
      case 'answerProblem': {
        const { kind, detail, requestId, retryAfterMilliseconds, ran } = effect;
        this.exchanges.end(requestId, ({ answer }) => {
          // The effect's `tokensGiven` may be out of date; the answer's is exact.
          const { tokensGiven } = answer;
          const { backendServerStatus: status } = answer;
          if (status !== undefined) this.logger.write('failurePassedOn', { requestId, status });
          const details = { retryAfterMilliseconds, ran, tokensGiven };
          answer.fail(new HornbeampondError(kind, detail, details));
        });
        return;
      }
      case 'replayAnswer':
        this.exchanges.end(effect.requestId, ({ answer }) => answer.replay(effect.answer));
        return;
      case 'proposeClaim':
        void this.proposeClaim(effect);
        return;
      case 'proposeCommand':
        void this.storeClient.propose(effect.command, COMMAND_TIMEOUT_MILLISECONDS);
        return;
      case 'probe':
        void this.probe(effect.target);
        return;
      case 'reportToEntries':
      case 'tellWork':
      case 'tellSpending':
      case 'shareStreamOrigins':
      case 'findStreamOrigin':
        this.sharing.run(effect);
        return;
      case 'readInstances':
        this.watcher.readForRequests();
        return;
      case 'configurationApplied':
        this.callerListener.applyBounds?.();
        this.storeClient.updateReport(this.makeInstanceReport(effect.revision));
        return;
      case 'withdrawalChanged':
        this.isWithdrawn = effect.isWithdrawn;
        if (this.isServing) this.callerListener.setKeepAlive?.(!effect.isWithdrawn);
        return;
      case 'shutdownReady':
        this.onShutdownReady();
        return;
      default:
        assertNever(effect);
    }
  }

  private async proposeClaim({ requestId, command }: ProposeClaimEffect): Promise<void> {
    const outcome = await this.storeClient.propose(command, CLAIM_TIMEOUT_MILLISECONDS);
    const answer: ClaimAnswer =
      outcome.type === 'result'
        ? { type: 'result', result: outcome.result as ClaimResult }
        : outcome;
    this.dispatch({ type: 'claimAnswered', requestId, command: command.type, answer });
  }

  private async probe(target: Extract<EntryEffect, { type: 'probe' }>['target']): Promise<void> {
    const { instance } = target;
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS);
      const probeResult = await this.adapters.getOrCreate(target).adapter.probe(signal);
      this.dispatch({ type: 'probeAnswered', instance, answered: true, ...probeResult });
    } catch {
      this.dispatch({ type: 'probeAnswered', instance, answered: false });
    }
  }

  /**
   * Asks the peers for their configurations, repeatedly until this entry has one, so that an entry
   * can start in a data centre that is partitioned from the stores.
   */
  private readPeerConfigurationsIfUnconfigured(): void {
    if (this.revision > 0) return;
    void this.peers.peekConfigurations().then((configurations) => {
      if (this.revision > 0) return;
      configurations.forEach((configuration) => {
        if (configuration.revision === 0) return;
        this.isPartitionedFromStores = true;
        this.dispatch({ type: 'configurationReceived', configuration });
      });
      this.subscriptions.push(
        this.timers.after(STORE_CONFIGURATION_TIMEOUT_MILLISECONDS, () =>
          this.readPeerConfigurationsIfUnconfigured(),
        ),
      );
    });
  }

  private countRefusal(error: unknown): void {
    this.callerReport.recordRefusal(error);
    const kind = error instanceof HornbeampondError ? error.kind : 'internalError';
    this.metrics.count({ metric: 'refusals', label: kind });
    if (kind === 'internalError') this.logUnexpectedError(error, 'request');
  }

  private logUnexpectedError(error: unknown, at: string): void {
    this.logger.write('unexpectedError', { at, reason: describeError(error) });
  }

  private async readStatus(): Promise<unknown> {
    const { state } = this.eventLoop;
    return {
      instance: this.settings.instance,
      dataCentre: this.settings.dataCentre,
      ready: this.isReady,
      cutOff: this.isPartitionedFromStores,
      configurationRevision: this.revision,
      openStreams: this.exchanges.size,
      backendServers: describeBackendServers(state, this.timers.monotonicNow()),
      contendedPools: describeShares(state),
      refusals: await this.metrics.readCounter('refusals'),
      retries: await this.metrics.readCounter('retries'),
      recomputedTokens: await this.metrics.readCounter('recomputedTokens'),
      stores: await this.storeClient.readStatus(),
    };
  }
}
