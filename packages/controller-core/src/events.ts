/**
 * The events that the controller's reducer handles, and the reports that active controllers
 * exchange. Each event carries both clocks as read when the process dispatched it.
 */
import type {
  Configuration,
  EpochMilliseconds,
  Euros,
  LoadReport,
  Milliseconds,
  MonotonicMilliseconds,
  OrderResult,
  PlatformInstance,
  RouteDemandReport,
} from '@hornbeampond/schema';

interface EventBase {
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
}

/** Outcome of a start, a request to buy one instance. `lost`: it might have been sold or not. */
export type StartOutcome =
  | { readonly type: 'started'; readonly instance: PlatformInstance }
  | { readonly type: 'refused'; readonly reason: string }
  | { readonly type: 'lost' };

/** Outcome of an order. `lost`: it might have been carried out. `weightStoreBusy`: not sent. */
export type OrderOutcome =
  | { readonly type: OrderResult }
  | { readonly type: 'lost' }
  | { readonly type: 'weightStoreBusy'; readonly retryAfter: Milliseconds };

/** An instance class and data centre (a place) where nothing is bought for the remaining time. */
export interface ClosedPlace {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly remaining: Milliseconds;
}

/** Capacity of one pool's serving instances in one data centre; a slot is one request at a time. */
export interface ServingReport {
  readonly pool: string;
  readonly instances: number;
  readonly slots: number;
  readonly reclaimableSlots: number;
}

/** The report that active controllers send each other about once a second. */
export interface DataCentreReport {
  readonly dataCentre: string;
  readonly demand: readonly RouteDemandReport[];
  readonly closedOffers: readonly ClosedPlace[];
  /** Reported because a controller receives load reports from its own data centre only. */
  readonly serving: readonly ServingReport[];
  /**
   * Daily profiles by route: mean requests a second for each quarter hour, null where unknown.
   * The receiver uses them where its own profiles are unknown.
   */
  readonly shapes?: Readonly<Record<string, readonly (number | null)[]>>;
}

export interface PlacePrice {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly eurosPerHour: Euros;
}

export type ControllerEvent =
  | (EventBase & { readonly type: 'tick' })
  | (EventBase & {
      readonly type: 'configurationApplied';
      readonly configuration: Configuration;
    })
  /** The lease was gained. Engines that do not check fencing get no order before `unfencedFrom`. */
  | (EventBase & {
      readonly type: 'leaseHeld';
      readonly epoch: number;
      readonly unfencedFrom: MonotonicMilliseconds;
    })
  | (EventBase & { readonly type: 'leaseLost' })
  | (EventBase & {
      readonly type: 'platformListed';
      readonly instances: readonly PlatformInstance[];
    })
  /** Current prices from the platform; without one, the price in the pools table applies. */
  | (EventBase & { readonly type: 'pricesListed'; readonly prices: readonly PlacePrice[] })
  | (EventBase & {
      readonly type: 'startAnswered';
      readonly startToken: string;
      readonly outcome: StartOutcome;
    })
  | (EventBase & { readonly type: 'endAnswered'; readonly instance: string; readonly ok: boolean })
  | (EventBase & {
      readonly type: 'reclaimNoticed';
      readonly instance: string;
      readonly goneAt: EpochMilliseconds;
    })
  /** The instance has failed: new connections to it fail. */
  | (EventBase & { readonly type: 'instanceLost'; readonly instance: string })
  | (EventBase & { readonly type: 'loadReported'; readonly report: LoadReport })
  /** From one entry in this controller's data centre. */
  | (EventBase & {
      readonly type: 'demandReported';
      readonly entry: string;
      readonly demand: readonly RouteDemandReport[];
    })
  | (EventBase & { readonly type: 'peerReported'; readonly report: DataCentreReport })
  | (EventBase & {
      readonly type: 'orderAnswered';
      readonly instance: string;
      readonly epoch: number;
      readonly sequence: number;
      readonly outcome: OrderOutcome;
    })
  /** The weight store's load limit for all data centres; each controller uses an equal share. */
  | (EventBase & { readonly type: 'loadRateRead'; readonly loadsPerMinute: number });

export type ControllerEventType = ControllerEvent['type'];
