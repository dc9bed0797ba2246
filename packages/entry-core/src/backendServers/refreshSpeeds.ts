/** Computes the learnt speeds of all backend servers anew when that is due, and logs what changed. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../entryEffects.js';
import type { EntryState } from '../EntryState.js';
import type { SpeedChange } from '../speeds/ServerSpeeds.js';

function listServersByPool(state: EntryState): Map<string, string[]> {
  const serversByPool = new Map<string, string[]>();
  state.backendServers.forEach(({ platformInstance }, instance) => {
    const servers = serversByPool.get(platformInstance.pool);
    if (servers === undefined) serversByPool.set(platformInstance.pool, [instance]);
    else servers.push(instance);
  });
  return serversByPool;
}

function toEffect(state: EntryState, change: SpeedChange): EntryEffect {
  const { clocks, speeds } = state;
  if (change.type === 'evenness') {
    const { type, ...fields } = change;
    return { type: 'log', event: 'poolEvennessChanged', fields };
  }
  const { server, isTrusted, agreement, samples } = change;
  const { stated, statedAge } = speeds.describe(server, clocks.now);
  const fields = { backendServer: server, isTrusted, agreement, samples, stated, statedAge };
  return { type: 'log', event: 'statedFactorTrustChanged', fields };
}

/** Tick handler. */
export function refreshSpeeds(state: EntryState, now: MonotonicMilliseconds): EntryEffect[] {
  const { speeds } = state;
  const changes = speeds.refresh(now, () => listServersByPool(state));
  if (changes.length === 0) return [];
  return [
    ...changes.map((change) => toEffect(state, change)),
    { type: 'setGauge', metric: 'unevenPools', value: speeds.unevenPoolCount },
    { type: 'setGauge', metric: 'distrustedServers', value: speeds.distrustedServerCount },
  ];
}
