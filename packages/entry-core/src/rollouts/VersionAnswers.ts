/**
 * Counts the answers of both versions of a pool during one roll-out, by route. A bad version may fail
 * on one route only, which the sum over all routes would hide.
 */
import type { AnswerCounts, EpochMilliseconds, RouteEvidence } from '@hornbeampond/schema';

export type VersionSide = 'previous' | 'next';

interface MutableCounts {
  answers: number;
  bad: number;
  slow: number;
  timed: number;
}

/** `untimed`: good, but it is not known how long it takes usually. */
export type AnswerQuality = 'good' | 'untimed' | 'bad' | 'slow';

export class VersionAnswers {
  private readonly byRoute = new Map<string, Record<VersionSide, MutableCounts>>();

  private silenceCount = 0;

  constructor(readonly startedAt: EpochMilliseconds) {}

  /** Attempts at the new version that ended without an answer. */
  get silences(): number {
    return this.silenceCount;
  }

  recordSilence(): void {
    this.silenceCount += 1;
  }

  record(route: string, side: VersionSide, quality: AnswerQuality): void {
    const counts = this.byRoute.get(route) ?? {
      previous: { answers: 0, bad: 0, slow: 0, timed: 0 },
      next: { answers: 0, bad: 0, slow: 0, timed: 0 },
    };
    counts[side].answers += 1;
    if (quality === 'bad') counts[side].bad += 1;
    if (quality === 'slow') counts[side].slow += 1;
    if (quality === 'slow' || quality === 'good') counts[side].timed += 1;
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
