/**
 * Keeps the lease of one data centre through the store, and tells when orders may be given.
 */
import {
  MAX_CLOCK_DRIFT_FRACTION,
  makeLeaseHolder,
  maySendOrder,
  reduceLease,
  type LeaseEffect,
  type LeaseEvent,
  type LeaseHolder,
} from '@hornbeampond/controller-core';
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  assertNever,
  type EpochMilliseconds,
  type LeaseResult,
  type Milliseconds,
} from '@hornbeampond/schema';
import type { StoreClient } from '@hornbeampond/transport';

/** An order is given up after this long, also by an engine that took it in late. */
export const MAX_ORDER_DURATION_MILLISECONDS: Milliseconds = 5000;

/** A third of the lease: two asks may be lost before it ends. */
const RENEWALS_PER_LEASE = 3;

export interface LeaseClientOptions {
  readonly store: StoreClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Name of the lease. */
  readonly lease: string;
  /** Unique to this process start. */
  readonly holder: string;
  readonly duration: Milliseconds;
  /** Longest time from the decision to give an order until it can act no more. */
  readonly maxOrderDuration: Milliseconds;
  onHeld(epoch: number, unfencedFrom: number): void;
  onLost(): void;
}

export class LeaseClient {
  private readonly lease: LeaseHolder;

  private cancelRenewal: Unsubscribe = () => {};

  private cancelExpiry: Unsubscribe = () => {};

  private abandoned = false;

  /** When each open ask was made by the wall clock, and until when the lease is held by it. */
  private readonly requestTimesByWallClock = new Map<number, EpochMilliseconds>();

  private heldUntilByWallClock = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: LeaseClientOptions) {
    this.lease = makeLeaseHolder({
      lease: options.lease,
      holder: options.holder,
      duration: options.duration,
      renewInterval: options.duration / RENEWALS_PER_LEASE,
      maxClockDriftFraction: MAX_CLOCK_DRIFT_FRACTION,
      maxOrderDuration: options.maxOrderDuration,
    });
  }

  start(): void {
    this.dispatch({ type: 'askDue', now: this.now });
  }

  /**
   * True if an order may leave at this very moment. The wall clock is asked besides: the monotonic
   * one of a suspended instance stands still, and a holder that wakes after its lease has ended
   * would go on giving orders beside its successor.
   */
  maySendOrder(checksFencing: boolean): boolean {
    if (this.options.timers.wallNow() >= this.heldUntilByWallClock) return false;
    return maySendOrder(this.lease, this.now, checksFencing);
  }

  get epoch(): number | undefined {
    return this.lease.active ? this.lease.epoch : undefined;
  }

  /**
   * Asks no more and tells nobody; the lease runs out by itself. Without this a closed controller
   * would go on asking: its timers keep the process alive, and where the store still answers, the
   * other controller never gets its turn. The flag also covers an ask whose answer is on its way.
   */
  abandon(): void {
    this.abandoned = true;
    this.cancelRenewal();
    this.cancelExpiry();
  }

  /** Gives the lease back, so that a planned replacement need not wait for its end. */
  release(): void {
    this.cancelRenewal();
    this.cancelExpiry();
    this.dispatch({ type: 'stop' });
  }

  private get now(): number {
    return this.options.timers.monotonicNow();
  }

  private dispatch(event: LeaseEvent): void {
    if (this.abandoned) return;
    reduceLease(this.lease, event).forEach((effect) => this.runEffect(effect));
  }

  private runEffect(effect: LeaseEffect): void {
    const { timers, logger, onHeld, onLost } = this.options;
    switch (effect.type) {
      case 'propose':
        void this.propose(effect);
        return;
      case 'startAskTimer':
        this.cancelRenewal();
        this.cancelRenewal = timers.after(effect.after, () =>
          this.dispatch({ type: 'askDue', now: this.now }),
        );
        return;
      case 'startEndTimer':
        this.cancelExpiry();
        this.cancelExpiry = timers.after(effect.after, () =>
          this.dispatch({ type: 'endDue', now: this.now }),
        );
        return;
      case 'leaseStarted':
        logger.write('leaseTaken', { epoch: effect.epoch });
        onHeld(effect.epoch, this.lease.unfencedFrom);
        return;
      case 'leaseEnded':
        logger.write('leaseLost', { epoch: effect.epoch });
        onLost();
        return;
      default:
        assertNever(effect);
    }
  }

  private async propose({
    requestNumber,
    command,
  }: Extract<LeaseEffect, { type: 'propose' }>): Promise<void> {
    const { store, timers, duration: timeout } = this.options;
    this.requestTimesByWallClock.set(requestNumber, timers.wallNow());
    const outcome = await store.propose(command, timeout);
    const requestedAtWall =
      this.requestTimesByWallClock.get(requestNumber) ?? Number.NEGATIVE_INFINITY;
    this.requestTimesByWallClock.delete(requestNumber);
    if (outcome.type !== 'result') return;
    const result = outcome.result as LeaseResult;
    if (result.type !== 'leaseHeld') return;
    const { epoch, duration, previousDuration } = result;
    this.heldUntilByWallClock = Math.max(this.heldUntilByWallClock, requestedAtWall + duration);
    this.dispatch({
      type: 'leaseHeld',
      now: this.now,
      requestNumber,
      epoch,
      duration,
      previousDuration,
    });
  }
}
