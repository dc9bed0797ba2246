/** What a pool should have, and the figures that it was planned from. */
import type { Euros, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { Mix } from './chooseMix.js';

/** Instances of one class in one data centre. */
export interface PlannedPlace {
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly slotsPerInstance: number;
  readonly eurosPerHour: Euros;
  readonly wanted: number;
}

/** Places for requests that the deadlines ask for. */
export interface SlotNeed {
  /** While all capacity stands. */
  readonly normal: number;
  /** Just after the loss that is planned for. */
  readonly afterLoss: number;
}

export interface NeedEstimate extends SlotNeed {
  readonly requestsPerSecond: number;
  readonly forecastPerSecond: number;
  readonly serviceMilliseconds: number;
  /** The shortest wait for a place that any of the pool's routes allows. */
  readonly shortestAllowedWait: Milliseconds;
}

export interface PoolPlan {
  readonly pool: string;
  readonly places: readonly PlannedPlace[];
  /** What the deadlines ask for at this moment. */
  readonly currentEstimate: NeedEstimate;
  /** What was planned for: the highest need of the last while and of the time ahead. */
  readonly need: SlotNeed;
  /** Slots kept beyond the need while instances wait for another version. */
  readonly rolloutSlots: number;
  /** Share of the reclaimable slots that the largest remembered wave took. */
  readonly waveLossFraction: number;
  /** Slots that the plan lacks because of `most` or because nothing more can be bought. */
  readonly missingSlots: number;
  readonly eurosPerHour: Euros;
  /** What the mix was chosen for, and the choice: the same question is not searched again. */
  readonly cachedChoice: { readonly requestJson: string; readonly mix: Mix };
  /** Needs of the last minutes, one a minute; scaling in waits until all of them are lower. */
  readonly recentNeeds: readonly (SlotNeed & { readonly at: MonotonicMilliseconds })[];
}
