/**
 * Everything a controller can be told. The shell turns answers, lists, reports and timers into
 * these; each carries the time at which the shell saw it.
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

/** What the platform said to a start; `lost` means that no answer came and nothing is known. */
export type StartOutcome =
  | { readonly type: 'started'; readonly instance: PlatformInstance }
  | { readonly type: 'refused'; readonly reason: string }
  | { readonly type: 'lost' };

/** What became of an order. `weightStoreBusy`: the order was not sent, come back later. */
export type OrderOutcome =
  | { readonly type: OrderResult }
  | { readonly type: 'lost' }
  | { readonly type: 'weightStoreBusy'; readonly retryAfter: Milliseconds };

/** A data centre and instance class that the platform will not sell, or should not be asked for. */
export interface ClosedOffer {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly remaining: Milliseconds;
}

/** Places for requests at the instances of one pool and data centre that take requests now. */
export interface ServingReport {
  readonly pool: string;
  readonly instances: number;
  readonly slots: number;
  readonly reclaimableSlots: number;
}

/** What the active controllers tell one another about once a second. */
export interface DataCentreReport {
  readonly dataCentre: string;
  readonly demand: readonly RouteDemandReport[];
  readonly closedOffers: readonly ClosedOffer[];
  /** Only the own controller knows what the engines of a data centre have loaded. */
  readonly serving: readonly ServingReport[];
  /** Requests a second by quarter hour of the day, for controllers that have learnt none yet. */
  readonly shapes?: Readonly<Record<string, readonly (number | null)[]>>;
}

export interface OfferPrice {
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
  /** The lease is held; orders to engines that check no fencing wait until `unfencedFrom`. */
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
  /** Prices by data centre, where the platform tells them; else the pools table's price holds. */
  | (EventBase & { readonly type: 'pricesListed'; readonly prices: readonly OfferPrice[] })
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
  /** The instance is dead beyond doubt: new connections to it fail. */
  | (EventBase & { readonly type: 'instanceLost'; readonly instance: string })
  | (EventBase & { readonly type: 'loadReported'; readonly report: LoadReport })
  /** From one entry of this controller's own data centre. */
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
  /** The weight store's rate; each data centre's controller uses its share of it. */
  | (EventBase & { readonly type: 'loadRateRead'; readonly loadsPerMinute: number });

export type ControllerEventType = ControllerEvent['type'];
