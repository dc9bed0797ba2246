/**
 * The holder's side of a lease. Two controllers must never give orders at once to a backend server
 * that does not check fencing numbers; between them only clocks and waiting can keep order. The
 * holder therefore counts its lease from when it asked, and a successor waits until that count
 * and the last order of the one before must have ended, whatever wall clocks say.
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
  /** Time between asks; a third of `duration` lets two asks be lost. */
  readonly renewInterval: Milliseconds;
  /** Most that a monotonic clock gains or loses, as a fraction of the time passed. */
  readonly maxClockDriftFraction: number;
  /** Longest time from the decision to give an order until it can act no more. */
  readonly maxOrderDuration: Milliseconds;
}

/** Monotonic clocks are specified to 500 parts in a million; twenty times that is allowed for. */
export const MAX_CLOCK_DRIFT_FRACTION = 0.01;

/** Asks whose answers are still of use; older ones would be measured as ended anyway. */
const MAX_OPEN_REQUESTS = 8;

export interface LeaseHolder {
  readonly settings: LeaseSettings;
  /** The newest epoch granted to this process; 0 if none was. */
  epoch: number;
  heldUntil: MonotonicMilliseconds;
  /** From when on orders may go to backend servers that do not check fencing. */
  unfencedFrom: MonotonicMilliseconds;
  /** Number of the last order under this epoch. */
  sequence: number;
  /** When each open ask was made, by its number. */
  readonly requestTimes: Map<number, MonotonicMilliseconds>;
  lastRequestNumber: number;
  active: boolean;
  stopped: boolean;
}

export interface LeaseHeldEvent {
  readonly type: 'leaseHeld';
  readonly now: MonotonicMilliseconds;
  /** Number of the ask that this is the result of. */
  readonly requestNumber: number;
  readonly epoch: number;
  readonly duration: Milliseconds;
  readonly previousDuration: Milliseconds;
}

export type LeaseEvent =
  | { readonly type: 'askDue'; readonly now: MonotonicMilliseconds }
  | LeaseHeldEvent
  | { readonly type: 'endDue'; readonly now: MonotonicMilliseconds }
  /** Sent once the last order has ended: gives the lease back, for a planned replacement. */
  | { readonly type: 'stop' };

export type LeaseEffect =
  | {
      readonly type: 'propose';
      readonly requestNumber: number;
      readonly command: TakeLeaseCommand | ReleaseLeaseCommand;
    }
  | { readonly type: 'startAskTimer'; readonly after: Milliseconds }
  /** Replaces the last such timer. */
  | { readonly type: 'startEndTimer'; readonly after: Milliseconds }
  | { readonly type: 'leaseStarted'; readonly epoch: number }
  | { readonly type: 'leaseEnded'; readonly epoch: number };

/** The fencing number of one order. Engines that check refuse a lower one. */
export interface FencingToken {
  readonly epoch: number;
  readonly sequence: number;
}

/** A holder that holds nothing yet; `askDue` makes it ask. */
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

/** True if orders may be given now; to be asked again right before each order leaves. */
export function maySendOrder(
  holder: LeaseHolder,
  now: MonotonicMilliseconds,
  checksFencing: boolean,
): boolean {
  if (holder.stopped || now >= holder.heldUntil) return false;
  return checksFencing || now >= holder.unfencedFrom;
}

/** Numbers the next order. */
export function nextFencingToken(holder: LeaseHolder): FencingToken {
  holder.sequence += 1;
  return { epoch: holder.epoch, sequence: holder.sequence };
}

/** Decides what one event means for the lease; changes `holder` in place. */
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
  holder.requestTimes.delete(holder.lastRequestNumber - MAX_OPEN_REQUESTS);
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
  const endEffects = event.epoch > holder.epoch ? startEpoch(holder, event) : [];
  // The log granted the lease after it was asked for, so a count from then on ends before its own.
  const safeEnd = requestedAt + event.duration * (1 - holder.settings.maxClockDriftFraction);
  holder.heldUntil = Math.max(holder.heldUntil, safeEnd);
  if (event.now >= holder.heldUntil) return endEffects;
  const endTimer: LeaseEffect = { type: 'startEndTimer', after: holder.heldUntil - event.now };
  if (holder.active) return [endTimer];
  holder.active = true;
  return [...endEffects, { type: 'leaseStarted', epoch: holder.epoch }, endTimer];
}

/**
 * The holder before may still count its lease, and its last order may still act: the log's clock
 * is a wall clock and may have jumped when its leader changed. Waiting its whole lease from now,
 * by this process's clock, is enough, since its last ask came before this grant.
 */
function startEpoch(holder: LeaseHolder, event: LeaseHeldEvent): LeaseEffect[] {
  const { maxClockDriftFraction, maxOrderDuration } = holder.settings;
  const unfencedDelay = (event.previousDuration + maxOrderDuration) * (1 + maxClockDriftFraction);
  const endEffects: LeaseEffect[] = holder.active
    ? [{ type: 'leaseEnded', epoch: holder.epoch }]
    : [];
  holder.active = false;
  holder.epoch = event.epoch;
  holder.sequence = 0;
  holder.heldUntil = -Infinity;
  holder.unfencedFrom = event.now + (event.previousDuration > 0 ? unfencedDelay : 0);
  return endEffects;
}

function handleEndDue(holder: LeaseHolder, now: MonotonicMilliseconds): LeaseEffect[] {
  if (!holder.active) return [];
  // Timers cut fractions of milliseconds off; one that fired too early has to be set again, or the
  // end would never be told.
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
