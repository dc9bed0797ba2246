/**
 * The change of a pool's instances from one version to another. While it runs, a share of the pool's
 * requests goes to the new version; the share grows as long as its answers are as good as those of
 * the old one.
 */
import type { EpochMilliseconds, Milliseconds } from '../units.js';

export const rolloutPhases = ['running', 'done', 'rolledBack'] as const;
export type RolloutPhase = (typeof rolloutPhases)[number];

export interface Rollout {
  readonly pool: string;
  /** The new version. */
  readonly version: string;
  /** When it was ordered, by the clock of the log; identifies it among those of its pool. */
  readonly startedAt: EpochMilliseconds;
  /** Within this time it is to be done or rolled back. */
  readonly duration: Milliseconds;
  readonly phase: RolloutPhase;
  /** Share of the pool's requests that go to the new version, from 0 to 1. */
  readonly share: number;
  /** When it was done or rolled back, by the clock of the log. */
  readonly endedAt?: EpochMilliseconds;
  /** Why it got its share or has ended. */
  readonly reason?: string;
  /** The answers that this was decided from. */
  readonly evidence?: readonly RouteEvidence[];
}

/** The latest roll-out of a pool, if there has been one. */
export function findRollout(
  rollouts: readonly Rollout[] | undefined,
  pool: string,
): Rollout | undefined {
  return rollouts?.find((rollout) => rollout.pool === pool);
}

/** The old or the new version, and what the answer was. */
export const versionAnswerKinds = [
  'previous/good',
  'previous/slow',
  'previous/bad',
  'next/good',
  'next/slow',
  'next/bad',
] as const;
export type VersionAnswerKind = (typeof versionAnswerKinds)[number];

/** How many answers of one version there were, and how many of them were bad. */
export interface AnswerCounts {
  readonly answers: number;
  /** Failures. Older entries count slow answers among them. */
  readonly bad: number;
  /** Answers that took several times as long as usual. */
  readonly slow?: number;
  /** Answers whose usual time was known to the entry, so that they could be found to be slow. */
  readonly timed?: number;
}

/** The answers that an entry got from both versions for one route since a roll-out began. */
export interface RouteEvidence {
  readonly route: string;
  readonly previous: AnswerCounts;
  readonly next: AnswerCounts;
}

/** What an entry reports of a roll-out that runs. */
export interface RolloutEvidence {
  readonly pool: string;
  readonly startedAt: EpochMilliseconds;
  readonly routes: readonly RouteEvidence[];
  /** Attempts in progress at instances of the old version. */
  readonly inProgressAtPrevious: number;
  /** The share that the entry applies. */
  readonly share: number;
  /** Attempts at the new version that ended without an answer after more than the usual time. */
  readonly silences?: number;
  /** Live instances of the new version that the entry knows. */
  readonly nextInstances?: number;
}
