/** What this entry may offer to a backend server that says that it is brittle. */
import type { Milliseconds } from '@hornbeampond/schema';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { currentLimit } from '../backendServers/BalancingState.js';
import { countOwnInProgress } from '../backendServers/countOwnInProgress.js';
import { estimateInProgress } from '../backendServers/estimateInProgress.js';
import { workReportInterval } from '../backendServers/WorkReports.js';
import { hashFraction } from '../shares/hashFraction.js';
import type { EntryState } from '../EntryState.js';
import { mayOfferBrittle } from './mayOfferBrittle.js';

/** Until others hear of a request, beside all that is measured: a tick and the way to the store. */
const REPORT_DELAY_MILLISECONDS: Milliseconds = 50;

/** Periods change in such steps, so that entries which measure pauses a little differently agree. */
const PERIOD_STEP_MILLISECONDS: Milliseconds = 150;

/** Without news of the others for this long, this entry keeps to its own part. */
const CUT_OFF_MILLISECONDS: Milliseconds = 500;

/** How long a brittle server that has rejected a request gets none from this entry. */
export const BRITTLE_REST_MILLISECONDS: Milliseconds = 1000;

export function isBrittle(state: EntryState, instance: string): boolean {
  return state.brittleness.isBrittle(instance);
}

/** For how long the others may not have heard of a request. */
function unknownPeriod(state: EntryState): Milliseconds {
  const { workReports, clocks } = state;
  const delay =
    REPORT_DELAY_MILLISECONDS +
    workReportInterval(state.membership.peers.size + 1) +
    workReports.longestPause(clocks.now) +
    workReports.longestTransit(clocks.now);
  return Math.ceil(delay / PERIOD_STEP_MILLISECONDS) * PERIOD_STEP_MILLISECONDS;
}

/** Attempts of the period, and places that were reserved in it for streams that move to the server. */
function countOwnRecent(
  { attempts, reclaims, clocks }: EntryState,
  { attemptIds, platformInstance }: BackendServerState,
  period: Milliseconds,
): number {
  const since = clocks.now - period;
  const recentAttempts = [...attemptIds].filter(
    (attemptId) => (attempts.get(attemptId)?.startedAt ?? since) > since,
  );
  const recentMoves = [...reclaims.moves.values()].filter(
    ({ to, startedAt }) => to === platformInstance.instance && startedAt > since,
  );
  return recentAttempts.length + recentMoves.length;
}

/**
 * The concurrency limit as far as rejections have not shown less room; never above the slots that the server
 * itself has stated.
 */
function knownLimit(
  { rejections, clocks }: EntryState,
  { platformInstance: { instance, pool }, balancing, load }: BackendServerState,
): number {
  const usable = balancing.maxLimit * rejections.usableFraction(instance, pool, clocks.now);
  return Math.min(currentLimit(balancing, clocks.now), usable, load?.slots ?? Infinity);
}

/** The draw of a period; a choice of a server asks for up to 16 of them, of the same period mostly. */
function drawFor(state: EntryState, server: BackendServerState, period: string): number {
  if (server.brittleDraw?.period !== period) {
    const { instance } = server.platformInstance;
    const fraction = hashFraction(`${instance}/${state.identity.instance}/${period}`);
    server.brittleDraw = { period, fraction };
  }
  return server.brittleDraw.fraction;
}

/** Entries change periods one after the other: those that are drawn together would send at the same moment. */
function nameOfPeriod({ identity, clocks }: EntryState, period: Milliseconds): string {
  return String(Math.floor(clocks.now / period + hashFraction(identity.instance)));
}

/** True for a server that is not brittle, or that has room for another request of this entry. */
export function isWithinBrittleRoom(state: EntryState, server: BackendServerState): boolean {
  const { instance } = server.platformInstance;
  if (!isBrittle(state, instance)) return true;
  const { now } = state.clocks;
  const entryCount = state.membership.peers.size + 1;
  const ageOfSums = state.workReports.ageOfSums(now) ?? Infinity;
  const isCutOff = entryCount > 1 && ageOfSums > CUT_OFF_MILLISECONDS;
  const period = unknownPeriod(state);
  const periodName = isCutOff ? 'cut' : nameOfPeriod(state, period);
  return mayOfferBrittle({
    limit: knownLimit(state, server),
    inProgress: estimateInProgress(state, server),
    ownRecent: countOwnRecent(state, server, period),
    own: countOwnInProgress(state, server),
    entryCount,
    isCutOff,
    draw: drawFor(state, server, periodName),
  });
}
