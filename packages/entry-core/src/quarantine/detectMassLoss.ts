/**
 * Distinguishes the outage of a data centre, or of the network to it, from a crash. A request runs
 * on one backend server at a time and cannot take down several at once, so the requests of a mass
 * loss are not suspects. A poison request that its caller sent several times looks similar: a mass
 * loss therefore takes the majority of the data centre, and no request in progress was a suspect
 * or in an earlier mass loss.
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

/** Losses within this time of each other are assumed to have the same cause. */
const SAME_CAUSE_WINDOW_MILLISECONDS: Milliseconds = 2000;

/** Another backend server that is lost or down at the same time. */
interface LostServer {
  readonly instance: string;
  readonly lostAt: number;
  readonly digests: readonly string[];
  readonly crashId?: string;
}

function listLostServers(state: EntryState): LostServer[] {
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

/** True if a request that may have caused the loss was in progress on the server. */
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

/** Also exonerates the suspects of earlier losses that turn out to be part of the same outage. */
export function detectMassLoss(state: EntryState, loss: ConnectionLoss): boolean {
  const dataCentre = dataCentreOf(state, loss.instance);
  const concurrent = listLostServers(state).filter(
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
