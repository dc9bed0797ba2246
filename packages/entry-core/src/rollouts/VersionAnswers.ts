/**
 * Counts the answers of both versions of a pool during one roll-out, by route. A bad version may fail
 * on one route only, which the sum over all routes would hide.
 */
import type { AnswerCounts, EpochMilliseconds, RouteEvidence } from '@hornbeampond/schema';

export type VersionSide = 'previous' | 'next';

interface MutableCounts {
  answers: number;
  bad: number;
}

export class VersionAnswers {
  private readonly byRoute = new Map<string, Record<VersionSide, MutableCounts>>();

  constructor(readonly startedAt: EpochMilliseconds) {}

  record(route: string, side: VersionSide, isBad: boolean): void {
    const counts = this.byRoute.get(route) ?? {
      previous: { answers: 0, bad: 0 },
      next: { answers: 0, bad: 0 },
    };
    counts[side].answers += 1;
    if (isBad) counts[side].bad += 1;
    this.byRoute.set(route, counts);
  }

  describe(): RouteEvidence[] {
    const copy = (counts: AnswerCounts): AnswerCounts => ({ ...counts });
    return [...this.byRoute].map(([route, { previous, next }]) => ({
      route,
      previous: copy(previous),
      next: copy(next),
    }));
  }
}
