/**
 * The figures that steer a controller's decisions. The defaults were weighed in
 * `docs/design/fleet.md`; nothing here is a promise to callers.
 */
import type { Milliseconds } from '@hornbeampond/schema';

export interface ControllerPolicy {
  /** Share of requests that should meet the deadline while all capacity stands. */
  readonly onTimeShare: number;
  /** Share that should meet it just after a data centre's reclaimable instances are gone. */
  readonly onTimeShareAfterLoss: number;
  /** Demand that is planned for beyond what was measured or foretold, as a share of it. */
  readonly headroom: number;
  /** The same where no daily shape has been learnt yet. */
  readonly headroomWithoutShape: number;
  /** An instance that is there is left for another place only if that is cheaper by this share. */
  readonly stickiness: number;
  /** Each recent wave at a place makes its reclaimable instances look dearer by this share. */
  readonly waveHandicap: number;
  /** How long a wave is remembered for. */
  readonly waveMemory: Milliseconds;
  /** No reclaimable instance is bought where one was reclaimed so lately. */
  readonly reclaimCooldown: Milliseconds;
  /** Wanted capacity falls only after it was lower for so long. */
  readonly scaleInDelay: Milliseconds;
  /** From a start to a backend server that serves, until one has been measured. */
  readonly startDuration: Milliseconds;
  /** Bounds on the platform's lag: how long a new instance may be unlisted, a gone one listed. */
  readonly listLag: Milliseconds;
  /** How long a gone instance's rows are ignored. */
  readonly goneMemory: Milliseconds;
  /** A start without an answer for so long is resent under its token. */
  readonly startAnswerTimeout: Milliseconds;
  /** A start unanswered for so long no longer counts as capacity to come. */
  readonly startGiveUp: Milliseconds;
  readonly firstBackoff: Milliseconds;
  readonly longestBackoff: Milliseconds;
  /** A new holder buys nothing for so long: its predecessor's last purchases are still unlisted. */
  readonly takeoverPause: Milliseconds;
  /** An instance of no pool is drained after so long. */
  readonly strayGrace: Milliseconds;
  /** An instance that has not served so long after its purchase is drained. */
  readonly neverServedAfter: Milliseconds;
  /** After a drain, entries may send for so long. */
  readonly entriesStop: Milliseconds;
  /** Wall clocks of instances are taken to differ by no more than this. */
  readonly clockBound: Milliseconds;
  /** Each data centre may take capacity out of service only in its own turn of this length. */
  readonly turnDuration: Milliseconds;
  /** An order without an answer for so long is taken for lost. */
  readonly orderTimeout: Milliseconds;
  /** A data centre whose controller has been silent for so long is planned around. */
  readonly peerSilence: Milliseconds;
  /** Demand of a silent data centre that seems not to be cut off counts for so long. */
  readonly silentDemandMemory: Milliseconds;
  /** Demand of an entry that has been silent for so long counts no longer. */
  readonly entrySilence: Milliseconds;
  /** Loads that may run at a time in this data centre. */
  readonly loadsAtOnce: number;
}

const SECOND = 1000;
const MINUTE = 60 * SECOND;

export const defaultPolicy: ControllerPolicy = {
  onTimeShare: 0.998,
  onTimeShareAfterLoss: 0.9,
  headroom: 0.02,
  headroomWithoutShape: 0.25,
  stickiness: 0.2,
  waveHandicap: 0.05,
  waveMemory: 60 * MINUTE,
  reclaimCooldown: 15 * MINUTE,
  scaleInDelay: 5 * MINUTE,
  startDuration: 4 * MINUTE,
  listLag: MINUTE,
  goneMemory: 10 * MINUTE,
  startAnswerTimeout: 10 * SECOND,
  startGiveUp: MINUTE,
  firstBackoff: 30 * SECOND,
  longestBackoff: 10 * MINUTE,
  takeoverPause: 10 * SECOND,
  strayGrace: MINUTE,
  neverServedAfter: 30 * MINUTE,
  entriesStop: 5 * SECOND,
  clockBound: 2 * SECOND,
  turnDuration: 20 * SECOND,
  orderTimeout: 5 * MINUTE,
  peerSilence: 30 * SECOND,
  silentDemandMemory: 60 * MINUTE,
  entrySilence: 30 * SECOND,
  loadsAtOnce: 4,
};
