/**
 * The state, the times and the collected effects that all modules share while one event is handled.
 */
import type { EpochMilliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { ConsensusEffect } from './consensusEvents.js';
import type { ConsensusState } from './ConsensusState.js';

export interface StepContext {
  readonly state: ConsensusState;
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
  readonly effects: ConsensusEffect[];
}
