/**
 * Handles reclaim notices that arrive as separate events, not in the platform's list, and removes
 * expired reclaim waves.
 */
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent } from '../events.js';
import type { ControllerState } from '../state.js';
import { removeExpiredWaves, recordReclaimNotice } from './reclaims.js';

export function reduceReclaims(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  if (event.type === 'tick') removeExpiredWaves(state);
  if (event.type !== 'reclaimNoticed') return [];
  const instance = state.fleet.get(event.instance);
  return instance === undefined ? [] : recordReclaimNotice(state, instance, event.goneAt);
}
