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

  private cancelAsk: Unsubscribe = () => {};

  private cancelEnd: Unsubscribe = () => {};

  private abandoned = false;

  /** When each open ask was made by the wall clock, and until when the lease is held by it. */
  private readonly askedAtWall = new Map<number, EpochMilliseconds>();

  private heldUntilWall = Number.NEGATIVE_INFINITY;

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
    this.feed({ type: 'askDue', now: this.now });
  }

  /**
   * True if an order may leave at this very moment. The wall clock is asked besides: the monotonic
   * one of a suspended instance stands still, and a holder that wakes after its lease has ended
   * would go on giving orders beside its successor.
   */
  maySendOrder(checksFencing: boolean): boolean {
    if (this.options.timers.wallNow() >= this.heldUntilWall) return false;
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
    this.cancelAsk();
    this.cancelEnd();
  }

  /** Gives the lease back, so that a planned replacement need not wait for its end. */
  release(): void {
    this.cancelAsk();
    this.cancelEnd();
    this.feed({ type: 'stop' });
  }

  private get now(): number {
    return this.options.timers.monotonicNow();
  }

  private feed(event: LeaseEvent): void {
    if (this.abandoned) return;
    reduceLease(this.lease, event).forEach((effect) => this.carryOut(effect));
  }

  private carryOut(effect: LeaseEffect): void {
    const { timers, logger, onHeld, onLost } = this.options;
    switch (effect.type) {
      case 'propose':
        void this.propose(effect);
        return;
      case 'startAskTimer':
        this.cancelAsk();
        this.cancelAsk = timers.after(effect.after, () =>
          this.feed({ type: 'askDue', now: this.now }),
        );
        return;
      case 'startEndTimer':
        this.cancelEnd();
        this.cancelEnd = timers.after(effect.after, () =>
          this.feed({ type: 'endDue', now: this.now }),
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
    requestNumber: ask,
    command,
  }: Extract<LeaseEffect, { type: 'propose' }>): Promise<void> {
    const { store, timers, duration: patience } = this.options;
    this.askedAtWall.set(ask, timers.wallNow());
    const outcome = await store.propose(command, patience);
    const askedAtWall = this.askedAtWall.get(ask) ?? Number.NEGATIVE_INFINITY;
    this.askedAtWall.delete(ask);
    if (outcome.type !== 'result') return;
    const result = outcome.result as LeaseResult;
    if (result.type !== 'leaseHeld') return;
    const { epoch, duration, previousDuration } = result;
    this.heldUntilWall = Math.max(this.heldUntilWall, askedAtWall + duration);
    this.feed({
      type: 'leaseHeld',
      now: this.now,
      requestNumber: ask,
      epoch,
      duration,
      previousDuration,
    });
  }
}
