/**
 * Withdraws an entry from the load balancer while its process is slow, so that callers are served
 * promptly by others. Answers in progress go on. Slow entries withdraw only while they are a small
 * part of their data centre: if many are slow, the load is the cause, and the others could not carry
 * more of it.
 */
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { reportSoon } from '../membership/advanceReports.js';
import { livePeers } from '../membership/livePeers.js';

/** Slow entries withdraw while they are at most this fraction of their data centre. */
const MAX_WITHDRAWN_FRACTION = 0.25;

/** True if the other entries of the data centre can take this entry's callers. */
function canWithdraw(state: EntryState): boolean {
  const peers = livePeers(state).filter(
    ({ report }) => report.dataCentre === state.identity.dataCentre,
  );
  const slowPeerCount = peers.filter(({ report }) => report.slow === true).length;
  if (peers.length === slowPeerCount) return false;
  const entryCount = peers.length + 1;
  return slowPeerCount + 1 <= Math.max(1, Math.floor(entryCount * MAX_WITHDRAWN_FRACTION));
}

/** Tick handler. */
export function advanceSlowness(state: EntryState, { now }: Timestamps): EntryEffect[] {
  const { slowness } = state;
  const { detector } = slowness;
  const effects: EntryEffect[] = [];
  if (detector.recordTick(now)) {
    reportSoon(state);
    const { lateFraction } = detector;
    const event = detector.isSlow ? 'entrySlow' : 'entryRecovered';
    effects.push({ type: 'log', event, fields: { lateFraction } });
  }
  const isWithdrawn = detector.isSlow && canWithdraw(state);
  if (isWithdrawn === slowness.isWithdrawn) return effects;
  slowness.isWithdrawn = isWithdrawn;
  return [
    ...effects,
    { type: 'withdrawalChanged', isWithdrawn },
    { type: 'setGauge', metric: 'withdrawn', value: isWithdrawn ? 1 : 0 },
    {
      type: 'log',
      event: 'withdrawalChanged',
      fields: { isWithdrawn, lateFraction: detector.lateFraction },
    },
  ];
}
