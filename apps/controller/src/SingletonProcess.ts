/**
 * Runs the singleton reducer, which reports usage and orders pool sizes for the whole cluster. An
 * instance of this class runs next to each store, and only the holder of the singleton lease
 * reports and orders. The holder also reads the platform's instance list and shares it through the
 * store.
 */
import type { PlatformAdapter, SingletonAdapter } from '@hornbeampond/adapters';
import {
  makeSingletonState,
  reduceSingleton,
  type SingletonEffect,
  type SingletonEvent,
  type SingletonEventPayload,
  type SingletonOptions,
  type SingletonState,
} from '@hornbeampond/controller-core';
import { EventLoop, type Logger, type TimerService, type Unsubscribe } from '@hornbeampond/runtime';
import {
  assertNever,
  type InstanceReport,
  type Milliseconds,
  type ProcessAddress,
  type UsageCounts,
} from '@hornbeampond/schema';
import { StoreClient, toSharedInstances, type PeerContext } from '@hornbeampond/transport';
import { LeaseClient } from './LeaseClient.js';

const LEASE_NAME = 'singleton';

const TICK_MILLISECONDS: Milliseconds = 250;

/** Interval at which the lease holder reads the platform's instance list. */
const LIST_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** Timeout of calls to the platform; the lease reducer assumes that calls have no effect after it. */
const PLATFORM_TIMEOUT_MILLISECONDS: Milliseconds = 900;

/** Proposed again after this, if it is still due. */
const ADVANCE_ROLLOUT_TIMEOUT_MILLISECONDS: Milliseconds = 1000;

const SETTLE_USAGE_TIMEOUT_MILLISECONDS: Milliseconds = 2000;

export interface SingletonProcessOptions extends SingletonOptions {
  readonly stores: readonly ProcessAddress[];
  readonly context: PeerContext;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Lists the instances. */
  readonly platform: PlatformAdapter;
  /** Sends size orders and usage reports. */
  readonly adapter: SingletonAdapter;
  /** Unique to this start of the process. */
  readonly holder: string;
  readonly leaseMilliseconds: Milliseconds;
}

export class SingletonProcess {
  readonly store: StoreClient;

  private readonly loop: EventLoop<SingletonState, SingletonEvent, SingletonEffect>;

  private readonly lease: LeaseClient;

  private timerSubscriptions: Unsubscribe[] = [];

  private isListing = false;

  constructor(private readonly options: SingletonProcessOptions) {
    const { stores, context, timers, logger, holder } = options;
    this.loop = new EventLoop(
      makeSingletonState(options),
      reduceSingleton,
      (effect) => this.runEffect(effect),
      (error, event) => logger.write('unexpectedError', { at: event.type, reason: String(error) }),
    );
    this.store = new StoreClient(
      stores,
      context,
      {
        onConfiguration: (configuration) =>
          this.dispatch({ type: 'configurationReceived', configuration }),
        onEntryDigest: ({ reports, usage }) => {
          reports.forEach((report) => this.dispatch({ type: 'entryReported', report }));
          if (usage.length > 0) this.dispatch({ type: 'usageTold', usage });
        },
        onEntryReport: (report) => this.dispatch({ type: 'entryReported', report }),
        onUsage: (usage) => this.dispatch({ type: 'usageTold', usage }),
        onPersistedState: ({ usage }) => this.dispatch({ type: 'usageTold', usage }),
      },
      this.makeInstanceReport(),
      true,
    );
    this.lease = new LeaseClient({
      store: this.store,
      timers,
      logger,
      lease: LEASE_NAME,
      holder,
      duration: options.leaseMilliseconds,
      maxOrderDuration: PLATFORM_TIMEOUT_MILLISECONDS,
      onHeld: (epoch) => this.dispatch({ type: 'leaseHeld', epoch }),
      onLost: () => this.dispatch({ type: 'leaseLost' }),
    });
  }

  start(): void {
    const { timers } = this.options;
    this.lease.start();
    this.timerSubscriptions = [
      timers.every(TICK_MILLISECONDS, () => this.dispatch({ type: 'tick' })),
      timers.every(LIST_INTERVAL_MILLISECONDS, () => {
        void this.listInstances();
      }),
    ];
  }

  /**
   * Stops the timers, releases the lease and waits one tick so that the release can reach the store.
   * Platform calls in progress are not awaited.
   */
  async stop(): Promise<void> {
    this.timerSubscriptions.forEach((unsubscribe) => unsubscribe());
    this.lease.release();
    await this.options.timers.wait(TICK_MILLISECONDS);
    this.store.close();
  }

  private makeInstanceReport(): InstanceReport {
    const { instance, dataCentre } = this.options.context.identity;
    return { instance, dataCentre, role: 'controller', revision: 0, cutOff: false };
  }

  private dispatch(event: SingletonEventPayload): void {
    const { timers } = this.options;
    const clocks = { now: timers.monotonicNow(), wallNow: timers.wallNow() };
    this.loop.dispatch({ ...event, ...clocks });
  }

  private runEffect(effect: SingletonEffect): void {
    switch (effect.type) {
      case 'log':
        this.options.logger.write(effect.event, effect.fields);
        return;
      case 'settleUsage':
        void this.settleUsage(effect.window, effect.counts);
        return;
      case 'advanceRollout':
        void this.store.propose(effect.command, ADVANCE_ROLLOUT_TIMEOUT_MILLISECONDS);
        return;
      case 'reportUsage':
        void this.reportUsage(effect);
        return;
      case 'orderSize':
        void this.orderSize(effect);
        return;
      default:
        assertNever(effect);
    }
  }

  private async settleUsage(window: number, counts: UsageCounts) {
    const command = { type: 'settleUsage', window, counts } as const;
    const outcome = await this.store.propose(command, SETTLE_USAGE_TIMEOUT_MILLISECONDS);
    if (outcome.type !== 'result' || outcome.result.type !== 'usageSettled') return;
    this.dispatch({ type: 'usageSettled', window, counts: outcome.result.counts });
  }

  private async reportUsage({
    window,
    counts,
    epoch,
  }: Extract<SingletonEffect, { type: 'reportUsage' }>): Promise<void> {
    // The platform may not check the epoch.
    if (!this.lease.maySend(false)) return;
    const { adapter, holder, logger } = this.options;
    try {
      const signal = AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS);
      await adapter.reportUsage(window, counts, { holder, epoch }, signal);
      logger.write('usageReported', { window, counts, epoch });
      this.dispatch({ type: 'usageReported', window });
    } catch (error) {
      logger.write('platformCallFailed', { call: 'reportUsage', window, reason: String(error) });
    }
  }

  private async orderSize({
    order,
    epoch,
  }: Extract<SingletonEffect, { type: 'orderSize' }>): Promise<void> {
    // The platform may not check the epoch.
    if (!this.lease.maySend(false)) return;
    const { adapter, holder, logger } = this.options;
    try {
      const signal = AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS);
      const outcome = await adapter.orderSize(order, { holder, epoch }, signal);
      this.dispatch({ type: 'sizeOrdered', order, outcome });
    } catch (error) {
      logger.write('platformCallFailed', { call: 'orderSize', ...order, reason: String(error) });
      this.dispatch({ type: 'sizeOrdered', order, outcome: 'failed' });
    }
  }

  private async listInstances(): Promise<void> {
    const { platform, logger, timers } = this.options;
    if (this.isListing || this.lease.epoch === undefined) return;
    this.isListing = true;
    try {
      const signal = AbortSignal.timeout(PLATFORM_TIMEOUT_MILLISECONDS);
      const readAt = timers.wallNow();
      const instances = await platform.listInstances(signal);
      // Timers do not count the time in which the machine was suspended.
      if (timers.wallNow() - readAt > PLATFORM_TIMEOUT_MILLISECONDS) {
        throw new Error('the list has become too old');
      }
      this.store.shareInstances(toSharedInstances(instances, timers.wallNow()), readAt);
      this.dispatch({ type: 'instancesListed', instances });
    } catch (error) {
      logger.write('platformUnreachable', { reason: String(error) });
    } finally {
      this.isListing = false;
    }
  }
}
