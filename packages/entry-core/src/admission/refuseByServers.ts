/** Refuses requests that no backend server can take, or whose server would be late. */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { nextTokenDueAt } from '../backendServers/chooseBackendServer.js';
import { getPoolState } from '../backendServers/getPoolState.js';
import { hasRemainingServer } from '../backendServers/hasRemainingServer.js';
import {
  describePrediction,
  isPredictionTrusted,
  predictFirstTokenDelay,
} from '../backendServers/predictFirstTokenDelay.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { chooseVersion } from '../rollouts/chooseVersion.js';
import { timeUntilRested } from '../statements/restAllowance.js';
import { describeExclusions } from './describeExclusions.js';
import { assignRetryAfter } from './assignRetryAfter.js';
import type { EarlyRefusal } from './EarlyRefusal.js';
import { estimateSlots, makeQueuedRequest } from './predictWait.js';

/** Without a backend server no wait can be predicted; a new instance starts in about this time. */
const NO_BACKEND_SERVER_RETRY_AFTER_MILLISECONDS: Milliseconds = 5000;

/** A crashed server of the version may be replaced in this time, if it is replaced at all. */
const VERSION_RETRY_AFTER_MILLISECONDS: Milliseconds = 2500;

/** Refuses the rest of a stream if no listed server has the version that began it. */
function refuseWithoutVersion(state: EntryState, accepted: RequestState): EarlyRefusal | undefined {
  const { boundVersion, pool } = accepted;
  if (boundVersion === undefined) return undefined;
  const { excluded } = chooseVersion(state, accepted);
  if (excluded.size === 0 || hasRemainingServer(state, accepted, excluded)) return undefined;
  return {
    kind: 'versionUnavailable',
    detail: `Pool "${pool.name}" has no backend server of the version that began the stream`,
    retryAfterMilliseconds: VERSION_RETRY_AFTER_MILLISECONDS,
    facts: { pool: pool.name, version: boundVersion.version, otherServers: excluded.size },
  };
}

/** Refuses a request that no server can take; if all of them rest, until they have rested. */
export function refuseWithoutServer(
  state: EntryState,
  accepted: RequestState,
  now: MonotonicMilliseconds,
): EarlyRefusal {
  const withoutVersion = refuseWithoutVersion(state, accepted);
  if (withoutVersion !== undefined) return withoutVersion;
  const pool = accepted.pool.name;
  const rest = timeUntilRested(state, pool);
  const interval = makeQueuedRequest(state, accepted).cost / estimateSlots(state, pool);
  const key = `rest/${pool}/${accepted.request.workspace}`;
  return {
    kind: 'noBackendServer',
    detail: `Pool "${pool}" has no backend server that can take the request`,
    retryAfterMilliseconds:
      rest > 0
        ? assignRetryAfter(state, key, rest, interval, now)
        : NO_BACKEND_SERVER_RETRY_AFTER_MILLISECONDS,
    facts: { pool, rest, excluded: describeExclusions(state, accepted, now) },
  };
}

export function refuseLateStart(
  state: EntryState,
  accepted: RequestState,
  server: BackendServerState,
  now: MonotonicMilliseconds,
): EarlyRefusal | undefined {
  const { request, pool } = accepted;
  const poolState = getPoolState(state, pool.name);
  const predicted = predictFirstTokenDelay(state, poolState, server, accepted);
  const timeLeft = nextTokenDueAt(accepted) - now;
  if (predicted <= timeLeft || !isPredictionTrusted(poolState, server, timeLeft, now)) {
    return undefined;
  }
  const interval = makeQueuedRequest(state, accepted).cost / estimateSlots(state, pool.name);
  const key = `server/${pool.name}/${request.workspace}`;
  const wait = predicted - timeLeft;
  const retryAfterMilliseconds = assignRetryAfter(state, key, wait, interval, now);
  const detail = `The first token is predicted in ${Math.round(predicted)} ms`;
  const facts = { patience: timeLeft, ...describePrediction(state, poolState, server, accepted) };
  return { kind: 'deadlineUnreachable', detail, retryAfterMilliseconds, facts };
}
