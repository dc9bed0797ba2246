/**
 * The state of one controller and the types in it. It is kept in memory only; the reducers change
 * it in place.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  emptyConfiguration,
  type Configuration,
  type EpochMilliseconds,
  type Euros,
  type Milliseconds,
  type MonotonicMilliseconds,
} from '@hornbeampond/schema';
import type { RouteDemand } from './demand/RouteDemand.js';
import type { FleetInstance } from './fleet/FleetInstance.js';
import type { PoolPlan } from './planning/PoolPlan.js';
import type { ClosedPlace, ServingReport } from './events.js';
import { defaultPolicy, type ControllerPolicy } from './policy.js';

export interface HeldLease {
  readonly epoch: number;
  readonly since: MonotonicMilliseconds;
  /** Earliest time at which orders may be sent to engines that do not check fencing tokens. */
  readonly unfencedFrom: MonotonicMilliseconds;
}

/** A request to buy one instance that the platform has not answered yet. */
export interface PendingStart {
  readonly startToken: string;
  readonly pool: string;
  readonly instanceClass: string;
  readonly requestedAt: MonotonicMilliseconds;
  resendAt: MonotonicMilliseconds;
  resends: number;
}

/** A period in which nothing is bought at one place (one instance class in one data centre). */
export interface PlaceClosure {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reason: 'refused' | 'reclaimed' | 'unanswered' | 'peer';
  until: MonotonicMilliseconds;
  /** Starts in a row that were refused or stayed unanswered; a batch counts once. */
  consecutiveFailedStarts: number;
}

/** Reclaims in one pool that came close together, at any number of places. */
export interface ReclaimWave {
  readonly startedAt: MonotonicMilliseconds;
  readonly pool: string;
  readonly places: Set<string>;
  readonly dataCentres: Set<string>;
  /** The pool's reclaimable slots before the wave's first reclaim. */
  readonly reclaimableSlotsBefore: number;
  lostSlots: number;
  lostInstances: number;
}

/** The latest report from the active controller of another data centre. */
export interface PeerDataCentre {
  readonly lastReportAt: MonotonicMilliseconds;
  readonly closedOffers: readonly ClosedPlace[];
  readonly serving: readonly ServingReport[];
}

export interface ControllerState {
  readonly dataCentre: string;
  readonly policy: ControllerPolicy;
  readonly random: RandomGenerator;
  now: MonotonicMilliseconds;
  wallNow: EpochMilliseconds;
  configuration: Configuration;
  lease: HeldLease | undefined;
  /** True once an engine has refused an order as old: another controller holds a newer epoch. */
  newerEpochSeen: boolean;
  orderSequence: number;
  startSequence: number;
  readonly demand: Map<string, RouteDemand>;
  readonly fleet: Map<string, FleetInstance>;
  /** Removed instances, and until when their rows in the platform's list are ignored. */
  readonly removedInstances: Map<string, MonotonicMilliseconds>;
  /** By start token. */
  readonly pendingStarts: Map<string, PendingStart>;
  /** By place key. */
  readonly placeClosures: Map<string, PlaceClosure>;
  /** By data centre. */
  readonly peers: Map<string, PeerDataCentre>;
  /** Euros an hour by place key, where the platform gave a price. */
  readonly prices: Map<string, Euros>;
  readonly waves: ReclaimWave[];
  readonly plans: Map<string, PoolPlan>;
  /** Moving average of the time from first sight of an instance until it serves, by pool. */
  readonly startDurations: Map<string, Milliseconds>;
  /** The weight store's load limit for all data centres; undefined until it was read. */
  loadsPerMinute: number | undefined;
  /** When the latest model loads were ordered, oldest first; checked against `loadsPerMinute`. */
  loadOrderTimes: MonotonicMilliseconds[];
}

export interface ControllerOptions {
  readonly dataCentre: string;
  readonly seed: number;
  readonly policy?: Partial<ControllerPolicy>;
}

/** Makes the state of a controller without configuration or lease. */
export function createControllerState(options: ControllerOptions): ControllerState {
  return {
    dataCentre: options.dataCentre,
    policy: { ...defaultPolicy, ...options.policy },
    random: xoroshiro128plus(options.seed),
    now: 0,
    wallNow: 0,
    configuration: emptyConfiguration,
    lease: undefined,
    newerEpochSeen: false,
    orderSequence: 0,
    startSequence: 0,
    demand: new Map(),
    fleet: new Map(),
    removedInstances: new Map(),
    pendingStarts: new Map(),
    placeClosures: new Map(),
    peers: new Map(),
    prices: new Map(),
    waves: [],
    plans: new Map(),
    startDurations: new Map(),
    loadsPerMinute: undefined,
    loadOrderTimes: [],
  };
}

/** Key of a place: one instance class in one data centre. */
export function placeKey(dataCentre: string, instanceClass: string): string {
  return `${dataCentre}/${instanceClass}`;
}
