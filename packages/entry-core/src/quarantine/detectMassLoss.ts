/**
 * Tells the loss of a whole data centre, or of the way to it, from a crash. A request runs on one
 * backend server at a time, so it cannot take down several together; a data centre that is cut off
 * or reclaimed without notice does. Without this, its requests would all be suspects: they
 * would wait to be run one by one, and a second outage would quarantine innocent ones.
 *
 * A bad request that its caller sent several times at once looks alike. So it is a mass loss only if
 * it took most of the data centre, no suspect is known to have run there, and none of the requests
 * was in a mass loss before: what is lost en masse twice is suspected after all.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { ConnectionLoss } from './QuarantineState.js';
import {
  exonerateSuspectsOf,
  peerHasSuspectAt,
  findPriorSuspects,
  SUSPECT_LIFETIME_MILLISECONDS,
} from './suspects.js';

/** Losses so close together have one cause. */
const SAME_CAUSE_WINDOW_MILLISECONDS: Milliseconds = 2000;

/** What is lost or down beside the loss in question. */
interface ConcurrentLoss {
  readonly instance: string;
  readonly lostAt: number;
  readonly digests: readonly string[];
  readonly crashId?: string;
}

function listOtherLosses(state: EntryState): ConcurrentLoss[] {
  const down = [...state.quarantine.down].map(([instance, { since, digests, crashId }]) => ({
    instance,
    lostAt: since,
    digests: [...digests],
    crashId,
  }));
  const unresolved = [...state.quarantine.unresolvedLosses.values()].map(
    ({ instance, openedAt, requestsInProgress }) => ({
      instance,
      lostAt: openedAt,
      digests: [...requestsInProgress.keys()],
    }),
  );
  return [...down, ...unresolved];
}

function dataCentreOf(state: EntryState, instance: string): string | undefined {
  return state.backendServers.get(instance)?.platformInstance.dataCentre;
}

function countServersIn(state: EntryState, dataCentre: string | undefined): number {
  return [...state.backendServers.values()].filter(
    ({ platformInstance }) => platformInstance.dataCentre === dataCentre,
  ).length;
}

/** True if a request is known that may have caused the loss. */
function hasKnownSuspect(state: EntryState, loss: ConnectionLoss): boolean {
  const { massLossDigests } = state.quarantine;
  return (
    findPriorSuspects(state, loss).length > 0 ||
    peerHasSuspectAt(state, loss.instance) ||
    [...loss.requestsInProgress.keys()].some((digest) => massLossDigests.has(digest))
  );
}

function recordMassLoss(state: EntryState, loss: ConnectionLoss): void {
  const until = loss.openedAt + SUSPECT_LIFETIME_MILLISECONDS;
  loss.requestsInProgress.forEach((_, digest) =>
    state.quarantine.massLossDigests.set(digest, until),
  );
}

/** Also takes back the suspicions of an earlier loss that has proved to be part of the same. */
export function detectMassLoss(state: EntryState, loss: ConnectionLoss): boolean {
  const dataCentre = dataCentreOf(state, loss.instance);
  const concurrent = listOtherLosses(state).filter(
    ({ instance, lostAt, digests }) =>
      instance !== loss.instance &&
      dataCentreOf(state, instance) === dataCentre &&
      Math.abs(lostAt - loss.openedAt) <= SAME_CAUSE_WINDOW_MILLISECONDS &&
      !digests.some((digest) => loss.requestsInProgress.has(digest)),
  );
  const isMajority = (concurrent.length + 1) * 2 > countServersIn(state, dataCentre);
  if (concurrent.length === 0 || !isMajority || hasKnownSuspect(state, loss)) return false;
  concurrent.forEach(({ crashId }) => {
    if (crashId !== undefined) exonerateSuspectsOf(state, new Set([crashId]));
  });
  recordMassLoss(state, loss);
  return true;
}
