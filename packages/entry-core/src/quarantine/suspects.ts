/**
 * Requests that ran on a backend server when it was lost. One of them may have crashed it; until
 * it is known which, they are run apart from each other, so that a second crash names one.
 */
import type { Milliseconds, MonotonicMilliseconds, PeerSuspect } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';
import { reportSoon } from '../membership/advanceReports.js';
import type { ConnectionLoss, Suspect } from './QuarantineState.js';

/** Suspicion ends after this, if the caller does not send the request again. */
export const SUSPECT_LIFETIME_MILLISECONDS = 600_000;

/** By then a report sent with the next tick has reached the peers. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 250;

/** How long a new suspect waits for peers to learn of it; not at all if there are none. */
export function announcementDelay(state: EntryState): Milliseconds {
  return livePeers(state).length === 0 ? 0 : ANNOUNCEMENT_DELAY_MILLISECONDS;
}

/** What peers suspect. A silent peer's suspicions stay; where it runs them it no longer tells. */
function listPeerSuspects(state: EntryState): PeerSuspect[] {
  return [...state.membership.peers.values()].flatMap(({ report, live }) =>
    live
      ? report.suspects
      : report.suspects.map((suspect) => ({ ...suspect, runningAt: undefined })),
  );
}

/** The crashes that a digest was in progress at, by what this entry and its peers saw. */
export function collectCrashIds(state: EntryState, digest: string): Set<string> {
  const crashes = new Set(state.quarantine.suspects.get(digest)?.crashIds);
  listPeerSuspects(state)
    .filter((suspect) => suspect.digest === digest && suspect.crashes > 0)
    .forEach(({ crashIds = ['unnamed'] }) => crashIds.forEach((crashId) => crashes.add(crashId)));
  return crashes;
}

export function isSuspect(state: EntryState, digest: string): boolean {
  const own = state.quarantine.suspects.get(digest);
  return (
    (own !== undefined && (own.isolationLifted !== true || own.lossInstance !== undefined)) ||
    listPeerSuspects(state).some((suspect) => suspect.digest === digest)
  );
}

/**
 * A request known as a suspect only from peers' reports becomes one here too. It waits until its own
 * presence here has been reported, so that of several entries with the same one only one runs it.
 */
function adoptSuspect(state: EntryState, digest: string, now: MonotonicMilliseconds): Suspect {
  const known = state.quarantine.suspects.get(digest);
  if (known !== undefined) return known;
  const reported = listPeerSuspects(state).filter((suspect) => suspect.digest === digest);
  const adopted = {
    digest,
    crashIds: collectCrashIds(state, digest),
    lossInstance: undefined,
    exposure: Math.max(...reported.map(({ exposure = 0 }) => exposure)),
    tokens: Math.max(...reported.map(({ tokens = 0 }) => tokens)),
    until: now + SUSPECT_LIFETIME_MILLISECONDS,
    heldUntil: now + announcementDelay(state),
  };
  state.quarantine.suspects.set(digest, adopted);
  reportSoon(state);
  return adopted;
}

/** Of the live entries that have the same suspect pending, the first by name runs it. */
function isPendingAtEarlierPeer(state: EntryState, digest: string): boolean {
  return [...state.membership.peers.values()].some(
    ({ live, report }) =>
      live &&
      report.instance < state.identity.instance &&
      report.suspects.some((suspect) => suspect.digest === digest && suspect.pending === true),
  );
}

/** True if a live peer lost this request and does not know yet whether it was a crash. */
function isProbedByPeer(state: EntryState, digest: string): boolean {
  return [...state.membership.peers.values()].some(
    ({ live, report }) =>
      live &&
      report.suspects.some((suspect) => suspect.digest === digest && suspect.judging === true),
  );
}

/**
 * True if a suspect must not run anywhere now: the probe that tells whether its backend server
 * crashed is still out, or it runs already, here or at a peer. A bad request would otherwise take down
 * one backend server after the other before the first crash is judged, and one that its caller
 * sends again would run beside itself.
 */
export function mustDelaySuspect(
  state: EntryState,
  digest: string,
  now: MonotonicMilliseconds,
): boolean {
  if (!isSuspect(state, digest)) return false;
  const { lossInstance, heldUntil = 0 } = adoptSuspect(state, digest, now);
  if (lossInstance !== undefined && state.quarantine.unresolvedLosses.has(lossInstance))
    return true;
  if (heldUntil > now || isPendingAtEarlierPeer(state, digest)) return true;
  if (isProbedByPeer(state, digest)) return true;
  const runsHere = [...state.attempts.values()].some(
    ({ requestId, givenUp }) =>
      !givenUp && state.requests.get(requestId)?.request.digest === digest,
  );
  const runsAtPeer = listPeerSuspects(state).some(
    (suspect) => suspect.digest === digest && suspect.runningAt !== undefined,
  );
  return runsHere || runsAtPeer;
}

/** Where suspects other than this request run now, here and by the peers' reports. */
export function listInstancesRunningSuspects(
  state: EntryState,
  exceptRequestId: string,
): Set<string> {
  const instances = new Set<string>();
  state.attempts.forEach(({ requestId, instance }) => {
    const digest = state.requests.get(requestId)?.request.digest;
    if (digest === undefined || requestId === exceptRequestId) return;
    if (isSuspect(state, digest)) instances.add(instance);
  });
  listPeerSuspects(state).forEach(({ runningAt }) => {
    if (runningAt !== undefined) instances.add(runningAt);
  });
  return instances;
}

/** A suspect that ran whole is none any more. */
export function exonerateSuspect(state: EntryState, digest: string): void {
  state.quarantine.suspects.delete(digest);
}

/** Once a crash has its culprit, all others that were in it, and in no other, are cleared. */
export function exonerateSuspectsOf(state: EntryState, crashIds: ReadonlySet<string>): void {
  state.quarantine.suspects.forEach((suspect, digest) => {
    const isExplained = [...suspect.crashIds].every((crashId) => crashIds.has(crashId));
    if (suspect.crashIds.size > 0 && isExplained) state.quarantine.suspects.delete(digest);
  });
}

function isIsolationLifted(state: EntryState, digest: string): boolean {
  return state.quarantine.suspects.get(digest)?.isolationLifted === true;
}

/** Members of the loss that were in progress at an earlier crash, one other than `crashId`. */
export function findPriorSuspects(
  state: EntryState,
  loss: ConnectionLoss,
  crashId?: string,
): string[] {
  const isOther = (other: string) => other !== crashId;
  return [...loss.requestsInProgress.keys()].filter(
    (digest) =>
      !isIsolationLifted(state, digest) && [...collectCrashIds(state, digest)].some(isOther),
  );
}

/** True if a peer runs a suspect there: this entry alone cannot then name one. */
export function peerHasSuspectAt(state: EntryState, instance: string): boolean {
  return [...state.membership.peers.values()].some(({ report }) =>
    report.suspects.some(({ runningAt }) => runningAt === instance),
  );
}
