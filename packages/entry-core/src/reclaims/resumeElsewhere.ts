/**
 * Resumes a stream from its offset at another backend server. The current attempt is cancelled
 * only if there is a server that can continue the stream; otherwise it runs on.
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

/** Cancels the current attempt and continues at `server`, which recomputes `tokens` tokens. */
export function migrateToServer(
  state: EntryState,
  requestState: RequestState,
  server: BackendServerState,
  tokens: number,
  now: MonotonicMilliseconds,
): EntryEffect[] {
  const { requestId } = requestState.request;
  const { instance } = server.platformInstance;
  removeCacheMove(state, requestId);
  const cancelled = cancelAttempt(state, requestState);
  requestState.recompute = { reason: 'reclaimResume', tokens };
  return [
    ...cancelled,
    {
      type: 'log',
      event: 'streamHandedOn',
      fields: { requestId, backendServer: instance, tokens },
    },
    ...launchAttempt(state, requestState, server, now),
  ];
}

export function resumeElsewhere(
  state: EntryState,
  requestState: RequestState,
  reason: RetryReason,
  { now }: Timestamps,
): EntryEffect[] {
  const server = chooseServerForAttempt(state, requestState, { spreadEvenly: true });
  if (server === undefined) return [];
  return [
    { type: 'count', metric: 'retries', label: reason },
    ...migrateToServer(state, requestState, server, countTokensToRecompute(requestState), now),
  ];
}
