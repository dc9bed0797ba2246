/**
 * Tuning parameters of the controller's decisions, and their defaults. No setting exposes them. A
 * place is one instance class in one data centre; a start is a request to buy one instance.
 */
import type { Milliseconds } from '@hornbeampond/schema';

export interface ControllerPolicy {
  /** Fraction of requests to serve within the deadline while all capacity is available. */
  readonly onTimeTarget: number;
  /** The same fraction right after one data centre's reclaimable instances were reclaimed. */
  readonly onTimeTargetAfterLoss: number;
  /** Extra demand to plan for, as a fraction of the measured or forecast demand. */
  readonly headroom: number;
  /** The same fraction for routes without a daily profile to forecast from. */
  readonly headroomWithoutProfile: number;
  /** Discount on existing instances in price comparisons, so small differences cause no moves. */
  readonly retentionDiscount: number;
  /** Fraction added to a place's reclaimable price, when compared, for each recent reclaim wave. */
  readonly wavePricePenalty: number;
  /** How long a reclaim wave counts as recent. */
  readonly waveRetention: Milliseconds;
  /** How long purchases at a place are suspended after a reclaim there. */
  readonly reclaimCooldown: Milliseconds;
  /** Planned capacity falls only after the need has been lower for this long. */
  readonly scaleInDelay: Milliseconds;
  /** Assumed time from a start to a serving backend server, until one is measured. */
  readonly defaultStartDuration: Milliseconds;
  /** An instance that the platform's list has not shown for this long is considered lost. */
  readonly maxListLag: Milliseconds;
  /** How long rows of the platform's list are ignored if they name a removed instance. */
  readonly removedInstanceRetention: Milliseconds;
  /** An unanswered start is first resent after this long; the waits between resends grow. */
  readonly startAnswerTimeout: Milliseconds;
  /** An unanswered start counts as upcoming capacity for this long; then its place is closed. */
  readonly pendingStartTimeout: Milliseconds;
  /** Upper bound of the random wait after a failed start; doubles with each consecutive one. */
  readonly initialStartBackoff: Milliseconds;
  readonly maxStartBackoff: Milliseconds;
  /** Nothing is bought for this long after a takeover, until earlier purchases are listed. */
  readonly takeoverPurchaseDelay: Milliseconds;
  /** Time since first sight after which an instance without a row in the pools table is drained. */
  readonly strayGracePeriod: Milliseconds;
  /** Time since first sight after which an instance that has never served is drained. */
  readonly startupTimeout: Milliseconds;
  /** Longest time for which entries can still send new calls to an instance after its drain. */
  readonly drainPropagationTime: Milliseconds;
  /** Assumed bound on the difference between the wall clocks of two instances. */
  readonly maxClockSkew: Milliseconds;
  /** Data centres take turns of this length to take capacity out of service. */
  readonly turnDuration: Milliseconds;
  /** An order without an answer for this long is considered lost. */
  readonly orderTimeout: Milliseconds;
  /** A data centre without a controller report for this long is considered unreachable. */
  readonly peerTimeout: Milliseconds;
  /** How long an unreachable data centre's demand counts while the fleet holds its instances. */
  readonly unreachableDemandRetention: Milliseconds;
  /** An entry's demand is dropped after this long without a report. */
  readonly entryTimeout: Milliseconds;
  /** Limit on model loads in progress at the same time in one data centre. */
  readonly maxConcurrentLoads: number;
}

const SECOND = 1000;
const MINUTE = 60 * SECOND;

export const defaultPolicy: ControllerPolicy = {
  onTimeTarget: 0.998,
  onTimeTargetAfterLoss: 0.9,
  headroom: 0.02,
  headroomWithoutProfile: 0.25,
  retentionDiscount: 0.2,
  wavePricePenalty: 0.05,
  waveRetention: 60 * MINUTE,
  reclaimCooldown: 15 * MINUTE,
  scaleInDelay: 5 * MINUTE,
  defaultStartDuration: 4 * MINUTE,
  maxListLag: MINUTE,
  removedInstanceRetention: 10 * MINUTE,
  startAnswerTimeout: 10 * SECOND,
  pendingStartTimeout: MINUTE,
  initialStartBackoff: 30 * SECOND,
  maxStartBackoff: 10 * MINUTE,
  takeoverPurchaseDelay: 10 * SECOND,
  strayGracePeriod: MINUTE,
  startupTimeout: 30 * MINUTE,
  drainPropagationTime: 5 * SECOND,
  maxClockSkew: 2 * SECOND,
  turnDuration: 20 * SECOND,
  orderTimeout: 5 * MINUTE,
  peerTimeout: 30 * SECOND,
  unreachableDemandRetention: 60 * MINUTE,
  entryTimeout: 30 * SECOND,
  maxConcurrentLoads: 4,
};
