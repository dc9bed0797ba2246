/**
 * Decides which version of a pool a request uses. During a roll-out the decision is drawn once per
 * request, so that its attempts stay with one version as long as that can serve them. An answer that has
 * begun stays with its version in any case; see `bindVersion`.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { acceptsNewWork } from '../backendServers/BackendServerState.js';
import type { EntryState } from '../EntryState.js';
import type { RequestState } from '../requests/RequestState.js';
import { isOutsideRateLimit } from '../statements/rateAllowance.js';
import { isResting } from '../statements/restAllowance.js';
import { listUnableToContinue, type BoundVersion } from '../streamVersions/boundVersion.js';
import type { PoolVersions } from './RolloutState.js';
import type { VersionSide } from './VersionAnswers.js';

/** What the version of a request leaves of its pool. */
export interface VersionChoice {
  /** Instances that the request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
  /** The instances that the request is limited to, if they may be few; undefined for any. */
  readonly limitedTo?: readonly string[];
  /** True if an answer that has begun cannot go on at any other instance. */
  readonly isBound?: boolean;
}

const ANY_INSTANCE: VersionChoice = { excluded: new Set() };

/**
 * False for an instance that is down, ejected, resting or left to other entries by its limit; callers
 * would wait for it.
 */
function isUsable(state: EntryState, instance: string): boolean {
  const server = state.backendServers.get(instance);
  if (server === undefined || state.quarantine.down.has(instance)) return false;
  if (isResting(state, server) || isOutsideRateLimit(state, server)) return false;
  return acceptsNewWork(server) && server.balancing.ejectedUntil === undefined;
}

function chooseDuringRollout(
  state: EntryState,
  { rollout, nextInUse, previous }: PoolVersions,
  accepted: RequestState,
): VersionSide {
  if (![...nextInUse].some((instance) => isUsable(state, instance))) return 'previous';
  if (previous.size === 0) return 'next';
  // A new attempt after a failure of the new version goes to the old one.
  const hasTriedNext = [...accepted.triedInstances].some((instance) => nextInUse.has(instance));
  if (accepted.isBeingHedged === true) return hasTriedNext ? 'next' : 'previous';
  if (hasTriedNext && rollout.share < 1) return 'previous';
  accepted.rolloutDraw ??= uniformFloat64(state.random);
  return accepted.rolloutDraw < rollout.share ? 'next' : 'previous';
}

function chooseSide(
  state: EntryState,
  versions: PoolVersions,
  accepted: RequestState,
): VersionSide {
  switch (versions.rollout.phase) {
    case 'running':
      return chooseDuringRollout(state, versions, accepted);
    case 'done':
      return versions.next.size > 0 ? 'next' : 'previous';
    default:
      return 'previous';
  }
}

/** Instances that a roll-out leaves to no request, whatever version it is bound to. */
function listUnusedInRollout({ rollout, next, nextInUse, previous }: PoolVersions): string[] {
  // The platform stops the previous instances as soon as the roll-out is done.
  if (rollout.phase === 'done') return [...previous];
  return [...next].filter((instance) => !nextInUse.has(instance));
}

function chooseBoundVersion(
  state: EntryState,
  { name: pool }: RequestState['pool'],
  bound: BoundVersion,
): VersionChoice {
  const excluded = listUnableToContinue(state, pool, bound);
  const versions = state.rollouts.versions.get(pool);
  if (versions !== undefined) {
    listUnusedInRollout(versions).forEach((instance) => excluded.add(instance));
  }
  if (!state.versions.hasSeveral(pool)) return { excluded };
  const limitedTo = state.versions.listInstances(pool, bound.version);
  return { excluded, limitedTo, isBound: true };
}

export function chooseVersion(state: EntryState, accepted: RequestState): VersionChoice {
  const { pool, boundVersion } = accepted;
  if (boundVersion !== undefined) return chooseBoundVersion(state, pool, boundVersion);
  const versions = state.rollouts.versions.get(pool.name);
  if (versions === undefined) return ANY_INSTANCE;
  const { rollout, next, nextInUse, previous } = versions;
  if (chooseSide(state, versions, accepted) === 'previous') return { excluded: next };
  const unused = [...next].filter((instance) => !nextInUse.has(instance));
  const excluded = new Set([...previous, ...unused]);
  const areFew = rollout.phase === 'running' && rollout.share < 1;
  return areFew ? { excluded, limitedTo: [...nextInUse] } : { excluded };
}
