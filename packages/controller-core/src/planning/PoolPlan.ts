/**
 * The plan of a pool: the instances it should have at each place, and the need that the plan is
 * based on.
 */
import type { Euros, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { Mix } from './chooseMix.js';

/** A place (one instance class in one data centre) and the number of instances wanted there. */
export interface PlannedPlace {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly slotsPerInstance: number;
  readonly eurosPerHour: Euros;
  readonly wanted: number;
}

/** Slots (requests in progress at full speed) that are needed to meet the deadlines. */
export interface SlotNeed {
  /** While no capacity is lost. */
  readonly normal: number;
  /** Right after the loss that is planned for. */
  readonly afterLoss: number;
}

/** The need at the time of planning, and the demand it was computed from. */
export interface NeedEstimate extends SlotNeed {
  /** Measured rate, without headroom. */
  readonly requestsPerSecond: number;
  /** Highest rate expected between now and the end of a start, with headroom. */
  readonly forecastPerSecond: number;
  /** Measured mean time in service. */
  readonly serviceMilliseconds: number;
  /** The shortest wait for a slot that any of the pool's routes allows. */
  readonly shortestAllowedWait: Milliseconds;
}

export interface PoolPlan {
  readonly pool: string;
  readonly places: readonly PlannedPlace[];
  readonly currentEstimate: NeedEstimate;
  /** The need that is planned for: the highest of `recentNeeds`. */
  readonly need: SlotNeed;
  /** Slots planned on top of the need while instances wait to load another version. */
  readonly rolloutSlots: number;
  /**
   * Largest fraction of the reclaimable slots taken by one recent wave over several data centres.
   */
  readonly waveLossFraction: number;
  /**
   * Slots missing from the plan, normally and after the planned loss together. The pool's `most`
   * and closed places are the usual reasons.
   */
  readonly missingSlots: number;
  readonly eurosPerHour: Euros;
  /** The last request to `chooseMix` and its result, so that the same search is not repeated. */
  readonly cachedChoice: { readonly requestJson: string; readonly mix: Mix };
  /**
   * Highest need in each of the last minutes, forecast included. The planned need falls only after
   * all of them are lower.
   */
  readonly recentNeeds: readonly (SlotNeed & { readonly at: MonotonicMilliseconds })[];
}
