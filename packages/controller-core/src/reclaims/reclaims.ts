/**
 * Reclaims: what they take from the fleet, how large the waves are that they come in, and where
 * replacements are not bought for a while.
 *
 * The replacement itself needs no code of its own. An instance under notice counts no longer, so
 * the plan that follows the very same event lacks its slots; its place is closed for a while and
 * the spread over data centres holds, so the plan takes the next cheapest safe places.
 */
import type { EpochMilliseconds } from '@hornbeampond/schema';
import { closeAfterReclaim } from '../buying/placeClosures.js';
import type { ControllerEffect } from '../effects.js';
import {
  instanceClassOf,
  enterPhase,
  instancesOf,
  isKept,
  poolOf,
  type FleetInstance,
} from '../fleet/FleetInstance.js';
import { placeKey, type ControllerState, type ReclaimWave } from '../state.js';

/** Reclaims that come within this of a wave's first belong to it. */
const MAX_WAVE_DURATION_MILLISECONDS = 90_000;

function countReclaimableSlots(state: ControllerState, name: string): number {
  const pool = poolOf(state, name);
  if (pool === undefined) return 0;
  return instancesOf(state, pool)
    .filter((instance) => isKept(instance) || instance.goneAt === undefined)
    .map((instance) => instanceClassOf(pool, instance))
    .reduce((sum, found) => sum + (found?.reclaimable === true ? found.concurrency : 0), 0);
}

function getOrStartWave(state: ControllerState, pool: string): ReclaimWave {
  const current = state.waves.find(
    (wave) => wave.pool === pool && state.now - wave.startedAt <= MAX_WAVE_DURATION_MILLISECONDS,
  );
  if (current !== undefined) return current;
  const wave: ReclaimWave = {
    startedAt: state.now,
    pool,
    places: new Set(),
    dataCentres: new Set(),
    reclaimableSlotsBefore: countReclaimableSlots(state, pool),
    lostSlots: 0,
    lostInstances: 0,
  };
  state.waves.push(wave);
  return wave;
}

/** Adds one lost reclaimable instance to the wave in progress and closes its place. */
export function recordReclaim(
  state: ControllerState,
  instance: FleetInstance,
): ReclaimWave | undefined {
  const pool = poolOf(state, instance.pool);
  const instanceClass = pool === undefined ? undefined : instanceClassOf(pool, instance);
  if (instanceClass?.reclaimable !== true) return undefined;
  const wave = getOrStartWave(state, instance.pool);
  wave.places.add(placeKey(instance.dataCentre, instance.instanceClass));
  wave.dataCentres.add(instance.dataCentre);
  wave.lostSlots += instanceClass.concurrency;
  wave.lostInstances += 1;
  closeAfterReclaim(state, instance.dataCentre, instance.instanceClass);
  return wave;
}

/** An instance is under notice: it counts as capacity no longer. */
export function recordReclaimNotice(
  state: ControllerState,
  instance: FleetInstance,
  goneAt: EpochMilliseconds,
): ControllerEffect[] {
  if (instance.goneAt !== undefined) return [];
  const wasKept = instance.phase !== 'draining';
  // Recorded first: the wave's share is taken of what stood before it.
  const wave = wasKept ? recordReclaim(state, instance) : undefined;
  instance.goneAt = goneAt;
  enterPhase(state, instance, 'leaving');
  if (!wasKept) return [];
  const { instance: name, pool, dataCentre, instanceClass } = instance;
  return [
    {
      type: 'log',
      event: 'reclaimNoticed',
      fields: {
        instance: name,
        pool,
        dataCentre,
        instanceClass,
        noticeMilliseconds: goneAt - state.wallNow,
        waveInstances: wave?.lostInstances,
        waveSlots: wave?.lostSlots,
      },
    },
    { type: 'count', metric: 'instancesReclaimed' },
  ];
}

/** Drops waves that are too long ago to plan for. */
export function removeExpiredWaves(state: ControllerState): void {
  const recent = state.waves.filter(
    (wave) => state.now - wave.startedAt <= state.policy.waveRetention,
  );
  state.waves.splice(0, state.waves.length, ...recent);
}
