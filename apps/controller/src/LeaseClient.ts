/**
 * Acquires, renews and releases one lease through the store, and decides whether an order may be
 * sent at this moment. Runs the effects of the lease reducer, which counts the lease by the
 * monotonic clock, and checks its end by the wall clock as well.
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

/** Timeout of an order; the lease reducer assumes that an order has no effect after it. */
export const MAX_ORDER_DURATION_MILLISECONDS: Milliseconds = 5000;

/** Renewals are sent at a third of the lease, so it survives two lost requests in a row. */
const RENEWALS_PER_LEASE = 3;

export interface LeaseClientOptions {
  readonly store: StoreClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Name of the lease, unique in the cluster. */
  readonly lease: string;
  /** Unique to this start of the process. */
  readonly holder: string;
  readonly duration: Milliseconds;
  /** Longest time from the decision to send an order until it can no longer take effect. */
  readonly maxOrderDuration: Milliseconds;
  onHeld(epoch: number, unfencedFrom: number): void;
  onLost(): void;
}

export class LeaseClient {
  private readonly lease: LeaseHolder;

  private cancelRenewal: Unsubscribe = () => {};

  private cancelExpiry: Unsubscribe = () => {};

  private isAbandoned = false;

  /** When each unanswered request was made, by its number. */
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
   * True if an order or a report may be sent now. If its receiver doesn't check fencing tokens, the
   * previous holder's last orders must have ended as well. The wall clock is checked too, because
   * the monotonic clock stops while an instance is suspended. A holder that resumes after the end of
   * its lease would otherwise send orders at the same time as its successor.
   */
  maySend(receiverChecksFencing: boolean): boolean {
    if (this.options.timers.wallNow() >= this.heldUntilByWallClock) return false;
    return maySendOrder(this.lease, this.now, receiverChecksFencing);
  }

  get epoch(): number | undefined {
    return this.lease.active ? this.lease.epoch : undefined;
  }

  /**
   * Stops renewing without releasing the lease, which expires by itself. Otherwise the timers of a
   * closed controller would go on renewing it, and no other could acquire it. The `isAbandoned`
   * flag also makes this client ignore the results of pending requests.
   */
  abandon(): void {
    this.isAbandoned = true;
    this.cancelRenewal();
    this.cancelExpiry();
  }

  /** Releases the lease, so that a successor need not wait for its end. */
  release(): void {
    this.cancelRenewal();
    this.cancelExpiry();
    this.dispatch({ type: 'stop' });
  }

  private get now(): number {
    return this.options.timers.monotonicNow();
  }

  private dispatch(event: LeaseEvent): void {
    if (this.isAbandoned) return;
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
