/** All that one controller knows. Only the reducers change it, in place. */
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
import type { ClosedOffer, ServingReport } from './events.js';
import { defaultPolicy, type ControllerPolicy } from './policy.js';

export interface HeldLease {
  readonly epoch: number;
  readonly since: MonotonicMilliseconds;
  readonly unfencedFrom: MonotonicMilliseconds;
}

/** A purchase whose answer is still open. */
export interface PendingStart {
  readonly startToken: string;
  readonly pool: string;
  readonly instanceClass: string;
  readonly requestedAt: MonotonicMilliseconds;
  resendAt: MonotonicMilliseconds;
  resends: number;
}

/** Why and until when nothing is bought at one data centre and instance class. */
export interface PlaceClosure {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reason: 'refused' | 'reclaimed' | 'unanswered' | 'peer';
  until: MonotonicMilliseconds;
  /** Refusals in a row. */
  refusals: number;
}

/** Reclaims at one place that came close together. */
export interface ReclaimWave {
  readonly startedAt: MonotonicMilliseconds;
  readonly pool: string;
  readonly places: Set<string>;
  readonly dataCentres: Set<string>;
  /** The pool's reclaimable slots when it began. */
  readonly reclaimableSlotsBefore: number;
  lostSlots: number;
  lostInstances: number;
}

export interface PeerDataCentre {
  readonly lastReportAt: MonotonicMilliseconds;
  readonly closedOffers: readonly ClosedOffer[];
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
  /** Highest epoch that an engine has shown us to be in use. */
  newerEpochSeen: boolean;
  orderSequence: number;
  startSequence: number;
  readonly demand: Map<string, RouteDemand>;
  readonly fleet: Map<string, FleetInstance>;
  /** Instances that are gone for good, and until when their rows are ignored. */
  readonly removedInstances: Map<string, MonotonicMilliseconds>;
  readonly pendingStarts: Map<string, PendingStart>;
  readonly placeClosures: Map<string, PlaceClosure>;
  readonly peers: Map<string, PeerDataCentre>;
  readonly prices: Map<string, Euros>;
  readonly waves: ReclaimWave[];
  readonly plans: Map<string, PoolPlan>;
  /** Measured time from a start to a backend server that serves, by pool. */
  readonly startDurations: Map<string, Milliseconds>;
  loadsPerMinute: number | undefined;
  /** When the last loads were ordered, oldest first; bounds the rate at the weight store. */
  loadTimes: MonotonicMilliseconds[];
}

export interface ControllerOptions {
  readonly dataCentre: string;
  readonly seed: number;
  readonly policy?: Partial<ControllerPolicy>;
}

/** A controller that knows nothing yet and holds no lease. */
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
    loadTimes: [],
  };
}

/** Key of one data centre and instance class. */
export function placeKey(dataCentre: string, instanceClass: string): string {
  return `${dataCentre}/${instanceClass}`;
}
