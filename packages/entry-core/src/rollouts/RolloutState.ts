/** What an entry knows and has observed of the roll-outs of its pools. */
import type { Rollout } from '@hornbeampond/schema';
import type { MovingAverage } from '../backendServers/MovingAverage.js';
import { VersionAnswers } from './VersionAnswers.js';

/** The instances of a pool by version, while a roll-out runs or after it has ended. */
export interface PoolVersions {
  readonly rollout: Rollout;
  /** Live instances of the new version. */
  readonly next: ReadonlySet<string>;
  /** Those of the new version that get requests: few while the share is small. */
  readonly nextInUse: ReadonlySet<string>;
  /** Live instances of other versions. */
  readonly previous: ReadonlySet<string>;
}

export interface RolloutState {
  /** By pool. */
  versions: Map<string, PoolVersions>;
  /** Answers since the roll-out began, by pool. */
  readonly answers: Map<string, VersionAnswers>;
  /** Mean time to the first token of the old version, by route. */
  readonly usualDelays: Map<string, MovingAverage>;
}

export function makeRolloutState(): RolloutState {
  return { versions: new Map(), answers: new Map(), usualDelays: new Map() };
}
