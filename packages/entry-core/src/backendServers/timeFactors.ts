/**
 * How long work takes at a backend server now, compared with the mean of its pool: from what the
 * entries have learnt and what the server states. 1 where nothing is known and in pools whose
 * servers are alike.
 */
import type { LogFields, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { BackendServerState } from './BackendServerState.js';
import { currentSlowness } from './BalancingState.js';

/** For the time until the first token, as far as it is learnt or stated. */
export function knownTimeFactor(
  { speeds }: EntryState,
  { platformInstance: { instance } }: BackendServerState,
  now: MonotonicMilliseconds,
): number {
  const learnt = speeds.learntFactor(instance, 'firstToken') ?? 1;
  return learnt * speeds.statedDeviation(instance, now);
}

/** The same; where nothing is learnt, the slowness that this entry has measured counts instead. */
export function firstTokenTimeFactor(
  state: EntryState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): number {
  const known = knownTimeFactor(state, server, now);
  const isLearnt =
    state.speeds.learntFactor(server.platformInstance.instance, 'firstToken') !== undefined;
  return isLearnt ? known : known * currentSlowness(server.balancing, now);
}

/**
 * For the time that an answer occupies a slot. Calls to plain services have no tokens; their answers
 * take as long as their first byte.
 */
export function slotTimeFactor(
  { speeds }: EntryState,
  { platformInstance }: BackendServerState,
  now: MonotonicMilliseconds,
): number {
  const { instance } = platformInstance;
  const longTerm =
    speeds.learntFactor(instance, 'decoding') ?? speeds.learntFactor(instance, 'firstToken') ?? 1;
  return longTerm * speeds.statedDeviation(instance, now);
}

/** True if the speeds of servers have an influence on the choice among them. */
export function areSpeedsKnown(
  { speeds }: EntryState,
  { platformInstance }: BackendServerState,
  now: MonotonicMilliseconds,
): boolean {
  const { instance, pool } = platformInstance;
  return speeds.isPoolUneven(pool) || speeds.statedDeviation(instance, now) !== 1;
}

/** The inputs of the factor in use, for the log of a decision; empty where nothing is known. */
export function describeSpeed(
  { speeds, clocks }: EntryState,
  { platformInstance }: BackendServerState,
): LogFields {
  const { instance } = platformInstance;
  if (!speeds.hasKnowledge(instance)) return {};
  const { stated, statedAge, trust, learnt, used } = speeds.describe(instance, clocks.now);
  return {
    timeFactor: used,
    ...(learnt === undefined ? {} : { learntFactor: learnt }),
    ...(stated === undefined ? {} : { statedFactor: stated, statedAge, statedTrust: trust }),
  };
}
