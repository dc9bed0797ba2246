/**
 * Quarantines the parts of prompts under which servers crash. Every entry decides by itself from what
 * all of them have reported, so a request with the part is refused at each within a fraction of a
 * second; the stores keep the decision for entries that start.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { EntryEffect } from '../../entryEffects.js';
import type { Timestamps } from '../../entryEvents.js';
import type { EntryState } from '../../EntryState.js';
import { reportSoon } from '../../membership/advanceReports.js';
import { quarantineKey } from '../quarantineDigest.js';
import { exonerateSuspectsAt } from '../suspects.js';
import { toPartKey, type PartSet } from './partKey.js';

/** Proposes to the stores what this entry has seen of the crashes; they count each crash once. */
function proposeReports(state: EntryState, set: PartSet, key: string): EntryEffect[] {
  return state.quarantine.ownCrashes.listCrashesOf(set).map(({ crashId, evidence }) => {
    const { backendServer } = evidence;
    const command = { type: 'reportCrash', backendServer, crashId, digests: [key] } as const;
    return { type: 'proposeCommand', command };
  });
}

function quarantineParts(state: EntryState, set: PartSet, timestamps: Timestamps): EntryEffect[] {
  const key = toPartKey(set);
  const servers = state.quarantine.partEvidence.listCrashedServers(set);
  exonerateSuspectsAt(state, new Set(servers));
  return [
    { type: 'log', event: 'partsQuarantined', fields: { ...set, crashes: servers.length } },
    ...proposeReports(state, set, key),
    ...quarantineKey(state, key, timestamps),
  ];
}

function announceSoundParts(state: EntryState, { now }: Timestamps): void {
  const sound = state.quarantine.partEvidence.takeNewlySound();
  if (sound.length === 0) return;
  state.quarantine.ownCrashes.addSoundParts(sound, now);
  reportSoon(state);
}

/** For how long the news of other entries may be under way. */
function findTransit({ workReports, clocks }: EntryState): Milliseconds {
  return workReports.longestPause(clocks.now) + workReports.longestTransit(clocks.now);
}

/** Tick handler. */
export function advancePartEvidence(state: EntryState, timestamps: Timestamps): EntryEffect[] {
  const { partEvidence, quarantinedParts } = state.quarantine;
  const { now } = timestamps;
  const transit = findTransit(state);
  partEvidence.expire(timestamps.wallNow);
  if (!partEvidence.mayHaveCulprits(now, transit)) return [];
  announceSoundParts(state, timestamps);
  const culprits = partEvidence.findCulprits(
    ({ pool, parts }) => quarantinedParts.endOf(pool, parts) !== undefined,
    (pool, part) => quarantinedParts.wasQuarantined(toPartKey({ pool, parts: [part] }), now),
    now,
    transit,
  );
  return culprits.flatMap((set) => quarantineParts(state, set, timestamps));
}
