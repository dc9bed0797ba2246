/**
 * Records reclaims: marks instances under notice as leaving, groups reclaims of a pool that come
 * close together into waves, and suspends purchases at their places (one instance class in one
 * data centre) for a while.
 *
 * Nothing here buys replacements: an instance under notice no longer counts as capacity, so the
 * next plan makes up for its slots at other places.
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

/** A reclaim belongs to a wave if it comes within this time after the first reclaim of the wave. */
const MAX_WAVE_DURATION_MILLISECONDS = 90_000;

function countReclaimableSlots(state: ControllerState, name: string): number {
  const pool = poolOf(state, name);
  if (pool === undefined) return 0;
  return instancesOf(state, pool)
    .filter((instance) => isKept(instance) || instance.goneAt === undefined)
    .map((instance) => instanceClassOf(pool, instance))
    .reduce(
      (sum, instanceClass) =>
        sum + (instanceClass?.reclaimable === true ? instanceClass.concurrency : 0),
      0,
    );
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

/**
 * Adds a reclaimed instance to the pool's current wave, or starts one, and closes the instance's
 * place. Does nothing for an instance that is not reclaimable.
 */
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

/**
 * Marks an instance as leaving at the first notice for it. Records the reclaim unless the instance
 * was already draining.
 */
export function recordReclaimNotice(
  state: ControllerState,
  instance: FleetInstance,
  goneAt: EpochMilliseconds,
): ControllerEffect[] {
  if (instance.goneAt !== undefined) return [];
  const wasKept = instance.phase !== 'draining';
  // Recorded before the phase changes, so that `reclaimableSlotsBefore` includes this instance.
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

/** Removes waves that began too long ago to affect the plan. */
export function removeExpiredWaves(state: ControllerState): void {
  const recent = state.waves.filter(
    (wave) => state.now - wave.startedAt <= state.policy.waveRetention,
  );
  state.waves.splice(0, state.waves.length, ...recent);
}
