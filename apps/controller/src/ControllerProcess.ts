/**
 * One running controller: passes events to the reducer and runs the effects that it returns.
 * Serves the status and the plan on the operators' port. Without the lease of its data centre, the
 * reducer returns no effect that changes the fleet.
 */
import {
  HttpPlatformAdapter,
  HttpWeightStoreAdapter,
  SkippedInstanceReport,
  type PlatformAdapter,
  type WeightStoreAdapter,
} from '@hornbeampond/adapters';
import {
  createControllerState,
  explainPlan,
  makeDataCentreReport,
  reduceController,
  type ControllerEffect,
  type ControllerEvent,
  type ControllerPolicy,
  type ControllerState,
  type OrderOutcome,
  type StartOutcome,
} from '@hornbeampond/controller-core';
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
import { assertNever, type Configuration, type ControllerSettings } from '@hornbeampond/schema';
import { OperatorServer, StoreClient, writeJson, type PeerContext } from '@hornbeampond/transport';
import { FleetExchange } from './FleetExchange.js';
import { FleetWatcher } from './FleetWatcher.js';
import { LeaseClient, MAX_ORDER_DURATION_MILLISECONDS } from './LeaseClient.js';

const TICK_MILLISECONDS = 250;

/** Timeout of calls to the platform and the weight store; repeating a call is harmless. */
const PLATFORM_TIMEOUT_MILLISECONDS = 5000;

/** Time allowed for the release of the lease to reach the store. */
const LEASE_RELEASE_WAIT_MILLISECONDS = 200;

type EventWithoutClocks = ControllerEvent extends infer Event
  ? Event extends { now: number; wallNow: number }
    ? Omit<Event, 'now' | 'wallNow'>
    : never
  : never;

type EffectOf<Type extends ControllerEffect['type']> = Extract<ControllerEffect, { type: Type }>;

export interface ControllerPorts {
  readonly operators: number;
  readonly peers: number;
}

export class ControllerProcess implements RunningProcess {
  private readonly logger: Logger;

  private readonly metrics = new Metrics({ withProcessMetrics: true });

  private readonly loop: EventLoop<ControllerState, ControllerEvent, ControllerEffect>;

  private readonly store: StoreClient;

  private readonly platform: PlatformAdapter;

  private readonly weightStore: WeightStoreAdapter | undefined;

  private readonly lease: LeaseClient;

  private readonly watcher: FleetWatcher;

  private readonly exchange: FleetExchange;

  private readonly operators: OperatorServer;

  private readonly drainedInstances = new Set<string>();

  private stopTicks: Unsubscribe = () => {};

  constructor(
    private readonly settings: ControllerSettings,
    private readonly timers: TimerService,
    policy: Partial<ControllerPolicy> = {},
  ) {
    const { instance, dataCentre, cluster, clusterSecret, logLevel } = settings;
    this.logger = new Logger({ process: 'hornbeampond-controller', instance }, logLevel);
    this.loop = new EventLoop(
      createControllerState({ dataCentre, seed: Math.trunc(timers.wallNow()), policy }),
      reduceController,
      (effect) => this.runEffect(effect),
      (error, event) => this.reportError(error, event.type),
    );
    const context: PeerContext = {
      identity: { cluster, instance, dataCentre, role: 'controller' },
      secret: clusterSecret,
      timers,
      logger: this.logger,
      metrics: this.metrics,
    };
    this.store = new StoreClient(
      settings.stores,
      context,
      { onConfiguration: (configuration) => this.applyConfiguration(configuration) },
      this.makeInstanceReport(0),
    );
    this.platform = new HttpPlatformAdapter(settings.platform.url);
    const { logger, metrics } = this;
    const skippedInstances = new SkippedInstanceReport({ timers, logger, metrics });
    this.platform.onSkipped = (skipped) => skippedInstances.record(skipped);
    this.weightStore =
      settings.weightStore === undefined
        ? undefined
        : new HttpWeightStoreAdapter(settings.weightStore.url);
    this.lease = new LeaseClient({
      store: this.store,
      timers,
      logger: this.logger,
      lease: `controller/${dataCentre}`,
      maxOrderDuration: MAX_ORDER_DURATION_MILLISECONDS,
      holder: `${instance}/${timers.wallNow().toString(36)}`,
      duration: settings.leaseMilliseconds,
      onHeld: (epoch, unfencedFrom) => this.dispatch({ type: 'leaseHeld', epoch, unfencedFrom }),
      onLost: () => this.clearLeaseState(),
    });
    this.watcher = new FleetWatcher({
      platform: this.platform,
      weightStore: this.weightStore,
      timers,
      logger: this.logger,
      dataCentre,
      pollMilliseconds: settings.platform.pollMilliseconds,
      readConfiguration: () => this.loop.state.configuration,
      onListed: (instances) => this.dispatch({ type: 'platformListed', instances }),
      onReclaimNotice: (noticed, goneAt) =>
        this.dispatch({ type: 'reclaimNoticed', instance: noticed, goneAt }),
      onLoad: (report) => this.dispatch({ type: 'loadReported', report }),
      onLost: (lost) => this.dispatch({ type: 'instanceLost', instance: lost }),
      onLoadRate: (loadsPerMinute) => this.dispatch({ type: 'loadRateRead', loadsPerMinute }),
    });
    this.exchange = new FleetExchange({
      settings,
      context,
      timers,
      readDrains: () => this.readDrains(),
      readReport: (withDailyProfiles) =>
        this.lease.epoch === undefined
          ? undefined
          : makeDataCentreReport(this.loop.state, withDailyProfiles),
      onDemand: (entry, demand) => this.dispatch({ type: 'demandReported', entry, demand }),
      onReport: (report) => this.dispatch({ type: 'peerReported', report }),
    });
    this.operators = new OperatorServer({
      metrics: this.metrics,
      isReady: () => this.loop.state.configuration.revision > 0,
      readStatus: async () => this.readStatus(),
      handle: async (request, response, url) => {
        if (url.pathname !== '/plan') return false;
        writeJson(response, 200, { rows: explainPlan(this.loop.state) });
        return true;
      },
    });
  }

  /** The epoch of the lease while this controller holds it, else undefined. */
  get epoch(): number | undefined {
    return this.lease.epoch;
  }

  async start(): Promise<ControllerPorts> {
    const peers = await this.exchange.start();
    const operators = await this.operators.listen(this.settings.operatorListen);
    this.stopTicks = this.timers.every(TICK_MILLISECONDS, () => this.dispatch({ type: 'tick' }));
    this.watcher.start();
    this.lease.start();
    this.logger.write('processReady', { operators, peers });
    return { operators, peers };
  }

  /** Releases the lease, so that another controller of the data centre can take it immediately. */
  async shutDown(): Promise<void> {
    this.logger.write('shutdownStarted', {});
    this.stopTicks();
    this.clearLeaseState();
    this.lease.release();
    await this.timers.wait(LEASE_RELEASE_WAIT_MILLISECONDS);
    await this.close();
    this.logger.write('shutdownFinished', {});
  }

  /** Stops like a killed process, without releasing the lease, which then expires by itself. */
  async close(): Promise<void> {
    this.stopTicks();
    this.lease.abandon();
    this.store.close();
    await Promise.all([this.watcher.close(), this.exchange.close(), this.operators.close()]);
  }

  private dispatch(event: EventWithoutClocks): void {
    const clocks = { now: this.timers.monotonicNow(), wallNow: this.timers.wallNow() };
    this.loop.dispatch({ ...event, ...clocks });
  }

  private makeInstanceReport(revision: number) {
    const { instance, dataCentre } = this.settings;
    return { instance, dataCentre, role: 'controller' as const, revision, cutOff: false };
  }

  private applyConfiguration(configuration: Configuration): void {
    const { revision } = configuration;
    if (revision < this.loop.state.configuration.revision) {
      this.logger.write('configurationIgnored', { revision });
      return;
    }
    this.dispatch({ type: 'configurationApplied', configuration });
    this.logger.write('configurationApplied', { revision });
    this.metrics.setGauge('configurationRevision', revision);
    this.store.updateReport(this.makeInstanceReport(revision));
  }

  private clearLeaseState(): void {
    this.drainedInstances.clear();
    this.dispatch({ type: 'leaseLost' });
  }

  private readDrains() {
    const { epoch } = this.lease;
    if (epoch === undefined) return undefined;
    return { dataCentre: this.settings.dataCentre, epoch, instances: [...this.drainedInstances] };
  }

  private runEffect(effect: ControllerEffect): void {
    if (runCommonEffect(effect, this.logger, this.metrics)) return;
    switch (effect.type) {
      case 'startInstance':
        void this.startInstance(effect);
        return;
      case 'drainInstance':
        this.drainedInstances.add(effect.instance);
        this.exchange.exchangeNow();
        return;
      case 'restoreInstance':
        this.drainedInstances.delete(effect.instance);
        this.exchange.exchangeNow();
        return;
      case 'endInstance':
        void this.endInstance(effect.instance);
        return;
      case 'sendOrder':
        void this.sendOrder(effect);
        return;
      default:
        assertNever(effect);
    }
  }

  private async startInstance(effect: EffectOf<'startInstance'>): Promise<void> {
    const { type, ...start } = effect;
    const { startToken } = start;
    let outcome: StartOutcome;
    try {
      const signal = AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS);
      outcome = await this.platform.startInstance(start, signal);
    } catch {
      outcome = { type: 'lost' };
    }
    this.dispatch({ type: 'startAnswered', startToken, outcome });
  }

  private async endInstance(instance: string): Promise<void> {
    let ok = true;
    try {
      await this.platform.endInstance(instance, AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS));
    } catch {
      ok = false;
    }
    if (ok) this.drainedInstances.delete(instance);
    this.dispatch({ type: 'endAnswered', instance, ok });
  }

  private async sendOrder({ instance, order }: EffectOf<'sendOrder'>): Promise<void> {
    const outcome = await this.requestPermissionAndSend(instance, order);
    const { epoch, sequence } = order;
    this.dispatch({ type: 'orderAnswered', instance, epoch, sequence, outcome });
  }

  private async requestPermissionAndSend(
    instance: string,
    order: EffectOf<'sendOrder'>['order'],
  ): Promise<OrderOutcome> {
    try {
      const { action } = order;
      if (action.type === 'load' && this.weightStore !== undefined) {
        const { model, adapter, version } = action;
        const signal = AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS);
        const load = { instance, model, adapter, version };
        const permission = await this.weightStore.requestLoad(load, signal);
        if (permission.type === 'refused') {
          return { type: 'weightStoreBusy', retryAfter: permission.retryAfter };
        }
      }
      const engine = this.watcher.findEngine(instance);
      // Checked last: the lease may have expired while the weight store's permission was pending.
      const allowed = this.lease.maySend(this.watcher.serverChecksFencing(instance));
      if (engine === undefined || !allowed) return { type: 'lost' };
      const signal = AbortSignal.timeout(MAX_ORDER_DURATION_MILLISECONDS);
      return { type: await engine.sendOrder(order, signal) };
    } catch {
      return { type: 'lost' };
    }
  }

  private readStatus(): unknown {
    const { state } = this.loop;
    return {
      instance: this.settings.instance,
      dataCentre: this.settings.dataCentre,
      epoch: this.lease.epoch ?? null,
      configurationRevision: state.configuration.revision,
      drained: [...this.drainedInstances],
      plan: explainPlan(state),
    };
  }

  private reportError(error: unknown, at: string): void {
    this.logger.write('unexpectedError', { at, reason: describeError(error) });
  }
}
