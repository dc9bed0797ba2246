/**
 * Has a stream go on at another backend server from its offset. The old attempt is given up only
 * when there is a backend server to take the stream; else it runs on for as long as it can.
 */
import type { MonotonicMilliseconds, RetryReason } from '@hornbeampond/schema';
import { chooseServerForAttempt } from '../attempts/chooseServerForAttempt.js';
import { launchAttempt } from '../attempts/launchAttempt.js';
import { cancelAttempt, removeCacheMove } from '../attempts/releaseAttempts.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import type { EntryEffect } from '../entryEffects.js';
import type { Timestamps } from '../entryEvents.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { countTokensToRecompute } from './recoveryCosts.js';

/** Gives up the attempt that runs and goes on at `server`, where `tokens` are computed again. */
export function migrateToServer(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  tokens: number,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestId } = accepted.request;
  const { instance } = server.platformInstance;
  removeCacheMove(state, requestId);
  const cancelled = cancelAttempt(state, accepted);
  accepted.recompute = { reason: 'reclaimResume', tokens };
  return [
    ...cancelled,
    {
      type: 'log',
      event: 'streamHandedOn',
      fields: { requestId, backendServer: instance, tokens },
    },
    ...launchAttempt(state, accepted, server, now),
  ];
}

export function resumeElsewhere(
  state: EntryState,
  accepted: RequestState,
  reason: RetryReason,
  { now }: Timestamps,
): EntryEffect[] {
  const server = chooseServerForAttempt(state, accepted, { spreadEvenly: true });
  if (server === undefined) return [];
  return [
    { type: 'count', metric: 'retries', label: reason },
    ...migrateToServer(state, accepted, server, countTokensToRecompute(accepted), now),
  ];
}
