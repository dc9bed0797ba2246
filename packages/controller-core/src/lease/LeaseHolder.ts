/**
 * The holder's side of a lease: requests and renews it, tracks its end, and numbers orders with
 * fencing tokens. Two holders must never send orders at the same time to a backend server that does
 * not check fencing tokens (an unfenced one). A holder therefore counts its lease from the time of
 * its request, and a successor waits until earlier leases and their last orders have ended.
 * This module uses only monotonic clocks; the store uses its wall clock.
 */
import type {
  Milliseconds,
  MonotonicMilliseconds,
  ReleaseLeaseCommand,
  TakeLeaseCommand,
} from '@hornbeampond/schema';

export interface LeaseSettings {
  readonly lease: string;
  /** Unique to this process start: a restarted process must not renew its predecessor's lease. */
  readonly holder: string;
  readonly duration: Milliseconds;
  /**
   * Time between requests. At a third of `duration`, the lease survives the loss of two requests in
   * a row.
   */
  readonly renewInterval: Milliseconds;
  /** Largest gain or loss of a monotonic clock, as a fraction of the elapsed time. */
  readonly maxClockDriftFraction: number;
  /** Longest time from the decision to send an order until the order can no longer take effect. */
  readonly maxOrderDuration: Milliseconds;
}

/** Twenty times 500 parts per million, the specified drift of monotonic clocks. */
export const MAX_CLOCK_DRIFT_FRACTION = 0.01;

/**
 * Only the newest unanswered requests are kept; a lease counted from an older one would already
 * have ended.
 */
const MAX_UNANSWERED_REQUESTS = 8;

export interface LeaseHolder {
  readonly settings: LeaseSettings;
  /** The newest epoch granted to this process; 0 before the first. */
  epoch: number;
  /** When the lease expires for this holder, by its own clock; no order is sent after that. */
  heldUntil: MonotonicMilliseconds;
  /** Earliest time at which orders may be sent to unfenced backend servers. */
  unfencedFrom: MonotonicMilliseconds;
  /** Sequence number of the last order in this epoch. */
  sequence: number;
  /** When each unanswered request was made, by its number. */
  readonly requestTimes: Map<number, MonotonicMilliseconds>;
  lastRequestNumber: number;
  /** True from a `leaseStarted` effect until the `leaseEnded` effect after it. */
  active: boolean;
  stopped: boolean;
}

export interface LeaseHeldEvent {
  readonly type: 'leaseHeld';
  readonly now: MonotonicMilliseconds;
  /** Number of the request that this answers. */
  readonly requestNumber: number;
  readonly epoch: number;
  readonly duration: Milliseconds;
  /** Longest duration granted in any earlier epoch; 0 in the first epoch. */
  readonly previousDuration: Milliseconds;
}

export type LeaseEvent =
  | { readonly type: 'askDue'; readonly now: MonotonicMilliseconds }
  | LeaseHeldEvent
  | { readonly type: 'endDue'; readonly now: MonotonicMilliseconds }
  /** Releases the lease for a planned replacement; dispatched once the last order has ended. */
  | { readonly type: 'stop' };

export type LeaseEffect =
  | {
      readonly type: 'propose';
      readonly requestNumber: number;
      readonly command: TakeLeaseCommand | ReleaseLeaseCommand;
    }
  | { readonly type: 'startAskTimer'; readonly after: Milliseconds }
  /** Replaces the previous end timer. */
  | { readonly type: 'startEndTimer'; readonly after: Milliseconds }
  | { readonly type: 'leaseStarted'; readonly epoch: number }
  | { readonly type: 'leaseEnded'; readonly epoch: number };

/** Identifies one order; a server that checks tokens refuses one below the highest it has seen. */
export interface FencingToken {
  readonly epoch: number;
  readonly sequence: number;
}

/** Makes a holder without a lease; an `askDue` event starts its requests. */
export function makeLeaseHolder(settings: LeaseSettings): LeaseHolder {
  return {
    settings,
    epoch: 0,
    heldUntil: -Infinity,
    unfencedFrom: Infinity,
    sequence: 0,
    requestTimes: new Map(),
    lastRequestNumber: 0,
    active: false,
    stopped: false,
  };
}

/** True if an order may be sent now; to be checked again right before each one is sent. */
export function maySendOrder(
  holder: LeaseHolder,
  now: MonotonicMilliseconds,
  serverChecksFencing: boolean,
): boolean {
  if (holder.stopped || now >= holder.heldUntil) return false;
  return serverChecksFencing || now >= holder.unfencedFrom;
}

/** Returns the token of the next order and advances the sequence. */
export function nextFencingToken(holder: LeaseHolder): FencingToken {
  holder.sequence += 1;
  return { epoch: holder.epoch, sequence: holder.sequence };
}

/** Handles one event; changes `holder` in place. */
export function reduceLease(holder: LeaseHolder, event: LeaseEvent): LeaseEffect[] {
  if (holder.stopped) return [];
  switch (event.type) {
    case 'askDue':
      return requestLease(holder, event.now);
    case 'leaseHeld':
      return handleLeaseHeld(holder, event);
    case 'endDue':
      return handleEndDue(holder, event.now);
    case 'stop':
      return releaseLease(holder);
    default:
      return event satisfies never;
  }
}

function requestLease(holder: LeaseHolder, now: MonotonicMilliseconds): LeaseEffect[] {
  const { lease, holder: name, duration, renewInterval } = holder.settings;
  holder.lastRequestNumber += 1;
  holder.requestTimes.set(holder.lastRequestNumber, now);
  holder.requestTimes.delete(holder.lastRequestNumber - MAX_UNANSWERED_REQUESTS);
  return [
    {
      type: 'propose',
      requestNumber: holder.lastRequestNumber,
      command: { type: 'takeLease', lease, holder: name, duration },
    },
    { type: 'startAskTimer', after: renewInterval },
  ];
}

function handleLeaseHeld(holder: LeaseHolder, event: LeaseHeldEvent): LeaseEffect[] {
  const requestedAt = holder.requestTimes.get(event.requestNumber);
  holder.requestTimes.delete(event.requestNumber);
  if (requestedAt === undefined || event.epoch < holder.epoch) return [];
  const previousLeaseEndEffects = event.epoch > holder.epoch ? startEpoch(holder, event) : [];
  // The store counts the lease from its grant, which follows the request; so this end is earlier.
  const safeEnd = requestedAt + event.duration * (1 - holder.settings.maxClockDriftFraction);
  holder.heldUntil = Math.max(holder.heldUntil, safeEnd);
  if (event.now >= holder.heldUntil) return previousLeaseEndEffects;
  const endTimer: LeaseEffect = { type: 'startEndTimer', after: holder.heldUntil - event.now };
  if (holder.active) return [endTimer];
  holder.active = true;
  return [...previousLeaseEndEffects, { type: 'leaseStarted', epoch: holder.epoch }, endTimer];
}

/**
 * Starts a new epoch; returns the `leaseEnded` effect of the previous one if its lease was active.
 *
 * An earlier holder might still consider its lease valid, because the store's
 * wall clock can jump when the store's leader changes. That holder's last request came before this
 * grant, so waiting from now for the longest earlier duration plus the longest order is enough.
 */
function startEpoch(holder: LeaseHolder, event: LeaseHeldEvent): LeaseEffect[] {
  const { maxClockDriftFraction, maxOrderDuration } = holder.settings;
  const unfencedDelay = (event.previousDuration + maxOrderDuration) * (1 + maxClockDriftFraction);
  const previousLeaseEndEffects: LeaseEffect[] = holder.active
    ? [{ type: 'leaseEnded', epoch: holder.epoch }]
    : [];
  holder.active = false;
  holder.epoch = event.epoch;
  holder.sequence = 0;
  holder.heldUntil = -Infinity;
  holder.unfencedFrom = event.now + (event.previousDuration > 0 ? unfencedDelay : 0);
  return previousLeaseEndEffects;
}

function handleEndDue(holder: LeaseHolder, now: MonotonicMilliseconds): LeaseEffect[] {
  if (!holder.active) return [];
  // Timers drop fractions of milliseconds; without a new one after an early timeout, the end of the
  // lease would never be reported.
  if (now < holder.heldUntil) return [{ type: 'startEndTimer', after: holder.heldUntil - now }];
  holder.active = false;
  return [{ type: 'leaseEnded', epoch: holder.epoch }];
}

function releaseLease(holder: LeaseHolder): LeaseEffect[] {
  const { lease, holder: name } = holder.settings;
  const { epoch, active } = holder;
  holder.stopped = true;
  holder.active = false;
  if (epoch === 0) return [];
  const command = { type: 'releaseLease', lease, holder: name, epoch } as const;
  const endEffects: LeaseEffect[] = active ? [{ type: 'leaseEnded', epoch }] : [];
  return [...endEffects, { type: 'propose', requestNumber: holder.lastRequestNumber + 1, command }];
}
