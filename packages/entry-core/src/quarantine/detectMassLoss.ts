/**
 * Distinguishes the outage of a data centre, or of the network to it, from a crash. One request
 * cannot crash several backend servers at the same time, so the requests of a mass loss are not
 * suspects. Copies of a poison request could: a mass loss therefore affects the majority of a data
 * centre, its servers share no request, and no request is a suspect or was in a mass loss before.
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

/** A backend server that is down or whose loss is unresolved. */
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

/** True if a suspect, or a request of an earlier mass loss, was in progress on the server. */
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

/**
 * True if the loss is part of a mass loss. Its digests are then recorded, and suspects of the
 * other servers that crashed in it are exonerated.
 */
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
