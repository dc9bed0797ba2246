/**
 * Tracks suspects: requests that were in progress on a backend server when it was lost, any of
 * which may have crashed it. They run isolated from each other, so that a second crash can be
 * attributed to one of them.
 */
import type { Milliseconds, MonotonicMilliseconds, PeerSuspect } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { livePeers } from '../membership/livePeers.js';
import { reportSoon } from '../membership/advanceReports.js';
import type { RequestState } from '../requests/RequestState.js';
import { findIsolation } from './findIsolation.js';
import type { ConnectionLoss, Suspect } from './QuarantineState.js';

/** How long a request stays a suspect, and how long the digests of a mass loss are kept. */
export const SUSPECT_LIFETIME_MILLISECONDS = 600_000;

/** Time within which a report sent with the next tick reaches the peers. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 250;

/** Returns how long a new suspect waits for its report to reach the peers; 0 if there are none. */
export function getAnnouncementDelay(state: EntryState): Milliseconds {
  return livePeers(state).length === 0 ? 0 : ANNOUNCEMENT_DELAY_MILLISECONDS;
}

function isReachable(state: EntryState, entry: string): boolean {
  return state.membership.peers.get(entry)?.isReachable === true;
}

/** Returns the suspects with this digest that peers have reported, by peer. */
function findAtPeers(state: EntryState, digest: string): ReadonlyMap<string, PeerSuspect> {
  return state.quarantine.peerSuspects.withDigest(digest);
}

/** True for some suspect with this digest at a peer that is reachable. */
function hasReachablePeer(
  state: EntryState,
  digest: string,
  matches: (suspect: PeerSuspect, entry: string) => boolean,
): boolean {
  return [...findAtPeers(state, digest)].some(
    ([entry, suspect]) => isReachable(state, entry) && matches(suspect, entry),
  );
}

/**
 * Returns the ids of all crashes at which a request with this digest was in progress, as seen by
 * this entry and its peers.
 */
export function collectCrashIds(state: EntryState, digest: string): Set<string> {
  const crashes = new Set(state.quarantine.suspects.get(digest)?.crashIds);
  findAtPeers(state, digest).forEach(({ crashes: count, crashIds = ['unnamed'] }) => {
    if (count > 0) crashIds.forEach((crashId) => crashes.add(crashId));
  });
  return crashes;
}

/** True if the request must run isolated from other suspects. */
export function isSuspect(state: EntryState, digest: string): boolean {
  const own = state.quarantine.suspects.get(digest);
  return (
    (own !== undefined && (own.isolationLifted !== true || own.lossInstance !== undefined)) ||
    findAtPeers(state, digest).size > 0
  );
}

/**
 * Returns the suspect with this digest. One that only peers have reported becomes a suspect of
 * this entry too, and is held until this entry has reported it, so that only one of several
 * entries runs it.
 */
function getOrAdoptSuspect(state: EntryState, digest: string, now: MonotonicMilliseconds): Suspect {
  const existing = state.quarantine.suspects.get(digest);
  if (existing !== undefined) return existing;
  const reported = [...findAtPeers(state, digest).values()];
  const adopted = {
    digest,
    crashIds: collectCrashIds(state, digest),
    lossInstance: undefined,
    exposure: Math.max(...reported.map(({ exposure = 0 }) => exposure)),
    tokens: Math.max(...reported.map(({ tokens = 0 }) => tokens)),
    until: now + SUSPECT_LIFETIME_MILLISECONDS,
    heldUntil: now + getAnnouncementDelay(state),
  };
  state.quarantine.suspects.set(digest, adopted);
  reportSoon(state);
  return adopted;
}

/**
 * True if a reachable peer whose name sorts before that of this entry has the same suspect
 * pending; that peer runs it.
 */
function isPendingAtEarlierPeer(state: EntryState, digest: string): boolean {
  return hasReachablePeer(
    state,
    digest,
    ({ pending }, entry) => pending === true && entry < state.identity.instance,
  );
}

/** True if a reachable peer is still probing a loss that affected this request. */
function isProbedByPeer(state: EntryState, digest: string): boolean {
  return hasReachablePeer(state, digest, ({ judging }) => judging === true);
}

function runsHere(state: EntryState, digest: string): boolean {
  return [...state.attempts.values()].some(
    ({ requestId, timedOut: givenUp }) =>
      !givenUp && state.requests.get(requestId)?.request.digest === digest,
  );
}

function runsAtPeer(state: EntryState, digest: string): boolean {
  return hasReachablePeer(state, digest, ({ runningAt }) => runningAt !== undefined);
}

/** True if a peer runs the same suspect, is to run it first, or is still probing its loss. */
function isHandledByPeer(state: EntryState, digest: string): boolean {
  return (
    isPendingAtEarlierPeer(state, digest) ||
    isProbedByPeer(state, digest) ||
    runsAtPeer(state, digest)
  );
}

/**
 * True if the request is a suspect and must not start now: its loss is being probed, its report
 * has not reached the peers, no server is left to this entry for now, another entry runs it first,
 * or it is already running. Otherwise a
 * poison request could crash several servers before its first crash is classified, and a resend
 * could run concurrently with the original. A caller who takes a stream up has lost the connection
 * to the other entry, so that one, which may be gone, is not waited for. Adopts suspects that only
 * peers have reported.
 */
export function mustDelaySuspect(
  state: EntryState,
  { request: { digest }, isTakenUp = false }: RequestState,
  now: MonotonicMilliseconds,
): boolean {
  if (!isSuspect(state, digest)) return false;
  const { lossInstance, heldUntil = 0 } = getOrAdoptSuspect(state, digest, now);
  if (lossInstance !== undefined && state.quarantine.unresolvedLosses.has(lossInstance))
    return true;
  if (heldUntil > now || findIsolation(state).slotServers?.length === 0) return true;
  return runsHere(state, digest) || (!isTakenUp && isHandledByPeer(state, digest));
}

/** Returns the instances on which this entry runs suspects other than this request. */
export function listInstancesRunningOwnSuspects(
  state: EntryState,
  excludedRequestId: string,
): Set<string> {
  const instances = new Set<string>();
  state.attempts.forEach(({ requestId, instance }) => {
    const digest = state.requests.get(requestId)?.request.digest;
    if (digest === undefined || requestId === excludedRequestId) return;
    if (isSuspect(state, digest)) instances.add(instance);
  });
  return instances;
}

/** Removes the suspect, because its request completed without crashing its backend server. */
export function exonerateSuspect(state: EntryState, digest: string): void {
  state.quarantine.suspects.delete(digest);
}

/**
 * Exonerates suspects that were in progress at these crashes only, because another cause is known.
 */
export function exonerateSuspectsOf(state: EntryState, crashIds: ReadonlySet<string>): void {
  state.quarantine.suspects.forEach((suspect, digest) => {
    const isExplained = [...suspect.crashIds].every((crashId) => crashIds.has(crashId));
    if (suspect.crashIds.size > 0 && isExplained) state.quarantine.suspects.delete(digest);
  });
}

/** Exonerates suspects that were in progress at crashes of these backend servers only. */
export function exonerateSuspectsAt(state: EntryState, servers: ReadonlySet<string>): void {
  const crashIds = [...state.quarantine.suspects.values()].flatMap((suspect) => [
    ...suspect.crashIds,
  ]);
  const isThere = (crashId: string) => servers.has(crashId.slice(0, crashId.lastIndexOf('/')));
  exonerateSuspectsOf(state, new Set(crashIds.filter(isThere)));
}

function isIsolationLifted(state: EntryState, digest: string): boolean {
  return state.quarantine.suspects.get(digest)?.isolationLifted === true;
}

/**
 * Returns the requests of the loss that were also in progress at a crash other than `crashId`,
 * except those whose isolation was lifted.
 */
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

/**
 * True if a peer last reported that a suspect runs on the instance; this entry alone cannot
 * attribute a crash then.
 */
export function peerHasSuspectAt(state: EntryState, instance: string): boolean {
  return state.quarantine.peerSuspects.runningAt(instance).size > 0;
}
