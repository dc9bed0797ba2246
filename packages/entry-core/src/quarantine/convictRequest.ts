/** Quarantines a request that has been identified as the cause of crashes. */
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import { quarantineKey } from './quarantineDigest.js';
import { collectCrashIds, exonerateSuspectsOf } from './suspects.js';

/**
 * Proposes one report for each crash of the identified request, listing no other digest. The store
 * quarantines a digest at its second reported crash; if all requests in progress were reported,
 * one that was in progress at two crashes by chance would be quarantined too.
 */
function proposeCrashReports(digest: string, crashIds: ReadonlySet<string>): EntryEffect[] {
  return [...crashIds].map((crashId) => {
    const backendServer = crashId.slice(0, crashId.lastIndexOf('/'));
    const command = { type: 'reportCrash', backendServer, crashId, digests: [digest] } as const;
    return { type: 'proposeCommand', command };
  });
}

/** Quarantines a request that has caused this crash and earlier ones. */
export function convictRequest(
  state: EntryState,
  digest: string,
  crashId: string,
  timestamps: Timestamps,
): EntryEffect[] {
  const crashIds = collectCrashIds(state, digest).add(crashId);
  exonerateSuspectsOf(state, crashIds);
  return [...proposeCrashReports(digest, crashIds), ...quarantineKey(state, digest, timestamps)];
}
