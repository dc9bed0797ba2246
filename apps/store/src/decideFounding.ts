/**
 * Decides whether a store founds a cluster, and which store another one supports in it. A store founds
 * only with the support of a majority of the seeds, itself included, and each seed supports one store at
 * a time, so that no two stores found at once. A seed that knows a cluster ends the attempt.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** After this time a majority of the seeds suffices, as some of them may be gone for good. */
export const MAJORITY_DELAY_MILLISECONDS: Milliseconds = 1000;

/** How long a seed's support can be used, from when it was asked for. */
export const SUPPORT_MILLISECONDS: Milliseconds = 500;

/**
 * How long a store that has supported another one supports no other. Longer than the support can be used:
 * the clocks of the two may run at different speeds.
 */
export const PROMISE_MILLISECONDS: Milliseconds = 1000;

/** Why a store is taken for one that belongs to a cluster. */
export type ClusterEvidence =
  /** Its log has members. */
  | 'member'
  /** Its disk has been part of a cluster, maybe under an earlier identity. */
  | 'diskUsed'
  /** A member of a cluster has sent it a message. */
  | 'messageReceived';

/** The latest answer of a seed. */
export interface SeedAnswer {
  readonly askedAt: MonotonicMilliseconds;
  readonly knowsCluster: boolean;
  readonly supports: boolean;
}

export interface FoundingSituation {
  readonly now: MonotonicMilliseconds;
  readonly startedAt: MonotonicMilliseconds;
  /** What this store knows of a cluster itself. */
  readonly evidence: ClusterEvidence | undefined;
  /** True unless this store has promised its support to another one. */
  readonly supportsItself: boolean;
  /** The other stores that the settings name. */
  readonly others: readonly string[];
  readonly answers: ReadonlyMap<string, SeedAnswer>;
  /** True if a cluster of this deployment has to survive the loss of a store. */
  readonly toleratesLoss: boolean;
}

export type FoundingDecision =
  | { readonly type: 'found' }
  | { readonly type: 'wait' }
  | { readonly type: 'giveUp'; readonly reason: ClusterEvidence }
  | { readonly type: 'giveUp'; readonly reason: 'seedKnowsCluster'; readonly seed: string };

export function decideFounding(situation: FoundingSituation): FoundingDecision {
  const { now, startedAt, evidence, others, answers } = situation;
  if (evidence !== undefined) return { type: 'giveUp', reason: evidence };
  const seed = [...answers].find(([, { knowsCluster }]) => knowsCluster)?.[0];
  if (seed !== undefined) return { type: 'giveUp', reason: 'seedKnowsCluster', seed };
  if (others.length === 0) return { type: 'found' };
  if (!situation.supportsItself) return { type: 'wait' };
  const fresh = others
    .map((other) => answers.get(other))
    .filter((answer) => answer !== undefined)
    .filter(({ askedAt }) => now - askedAt <= SUPPORT_MILLISECONDS);
  const supporters = fresh.filter(({ supports }) => supports).length;
  if (supporters === others.length) return { type: 'found' };
  if (now - startedAt < MAJORITY_DELAY_MILLISECONDS) return { type: 'wait' };
  const hasMajority = (supporters + 1) * 2 > others.length + 1;
  // Where no loss is tolerated, the seeds that are missing may never come.
  const isAloneAllowed = !situation.toleratesLoss && supporters === fresh.length;
  return { type: hasMajority || isAloneAllowed ? 'found' : 'wait' };
}

/** A store that may found. */
export interface FoundingCandidate {
  readonly instance: string;
  readonly identity: string;
}

export interface FoundingPromise {
  readonly identity: string;
  readonly until: MonotonicMilliseconds;
}

export interface SupportSituation {
  readonly now: MonotonicMilliseconds;
  readonly evidence: ClusterEvidence | undefined;
  /** The latest promise of this run. */
  readonly promise: FoundingPromise | undefined;
  /** Until then a promise of an earlier run may hold, which is not on the disk. */
  readonly earlierRunUntil: MonotonicMilliseconds;
  /** This store, while it asks for support itself. */
  readonly ownCandidacy: FoundingCandidate | undefined;
}

function comesBefore(one: FoundingCandidate, other: FoundingCandidate): boolean {
  if (one.instance !== other.instance) return one.instance < other.instance;
  return one.identity < other.identity;
}

/**
 * True if this store may support `candidate`. Of two stores that may both found, the one whose name is
 * greater supports the other, and then no longer itself.
 */
export function decideSupport(situation: SupportSituation, candidate: FoundingCandidate): boolean {
  const { now, evidence, promise, earlierRunUntil, ownCandidacy } = situation;
  if (evidence !== undefined || now < earlierRunUntil) return false;
  const isPromised = promise !== undefined && now < promise.until;
  if (isPromised) return promise.identity === candidate.identity;
  return (
    ownCandidacy === undefined ||
    ownCandidacy.identity === candidate.identity ||
    comesBefore(candidate, ownCandidacy)
  );
}
