/**
 * The figures that steer a controller's decisions. The defaults were weighed in
 * `docs/design/fleet.md`; nothing here is a promise to callers.
 */
import type { Milliseconds } from '@hornbeampond/schema';

export interface ControllerPolicy {
  /** Share of requests that should meet the deadline while all capacity stands. */
  readonly onTimeTarget: number;
  /** Share that should meet it just after a data centre's reclaimable instances are gone. */
  readonly onTimeTargetAfterLoss: number;
  /** Demand that is planned for beyond what was measured or foretold, as a share of it. */
  readonly headroom: number;
  /** The same where no daily shape has been learnt yet. */
  readonly headroomWithoutProfile: number;
  /** An instance that is there is left for another place only if that is cheaper by this share. */
  readonly retentionDiscount: number;
  /** Each recent wave at a place makes its reclaimable instances look dearer by this share. */
  readonly wavePricePenalty: number;
  /** How long a wave is remembered for. */
  readonly waveRetention: Milliseconds;
  /** No reclaimable instance is bought where one was reclaimed so lately. */
  readonly reclaimCooldown: Milliseconds;
  /** Wanted capacity falls only after it was lower for so long. */
  readonly scaleInDelay: Milliseconds;
  /** From a start to a backend server that serves, until one has been measured. */
  readonly defaultStartDuration: Milliseconds;
  /** Bounds on the platform's lag: how long a new instance may be unlisted, a gone one listed. */
  readonly maxListLag: Milliseconds;
  /** How long a gone instance's rows are ignored. */
  readonly removedInstanceRetention: Milliseconds;
  /** A start without an answer for so long is resent under its token. */
  readonly startAnswerTimeout: Milliseconds;
  /** A start unanswered for so long no longer counts as capacity to come. */
  readonly pendingStartTimeout: Milliseconds;
  readonly initialStartBackoff: Milliseconds;
  readonly maxStartBackoff: Milliseconds;
  /** A new holder buys nothing for so long: its predecessor's last purchases are still unlisted. */
  readonly takeoverPurchaseDelay: Milliseconds;
  /** An instance of no pool is drained after so long. */
  readonly strayGracePeriod: Milliseconds;
  /** An instance that has not served so long after its purchase is drained. */
  readonly startupTimeout: Milliseconds;
  /** After a drain, entries may send for so long. */
  readonly drainPropagationTime: Milliseconds;
  /** Wall clocks of instances are taken to differ by no more than this. */
  readonly maxClockSkew: Milliseconds;
  /** Each data centre may take capacity out of service only in its own turn of this length. */
  readonly turnDuration: Milliseconds;
  /** An order without an answer for so long is taken for lost. */
  readonly orderTimeout: Milliseconds;
  /** A data centre whose controller has been silent for so long is planned around. */
  readonly peerTimeout: Milliseconds;
  /** Demand of a silent data centre that seems not to be cut off counts for so long. */
  readonly unreachableDemandRetention: Milliseconds;
  /** Demand of an entry that has been silent for so long counts no longer. */
  readonly entryTimeout: Milliseconds;
  /** Loads that may run at a time in this data centre. */
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
