/**
 * What rejections by brittle backend servers have shown of their room: that it ends before the concurrency
 * limit, as where long prompts fill the memory of an engine. One rejection teaches all entries, or each of
 * them would learn it by one of its own, which together are more than the server survives. It also teaches
 * them about the other servers of the pool, which get work of the same kind, until those reject something
 * themselves. What was learnt fades, since the room may have grown again.
 */
import type { Milliseconds, MonotonicMilliseconds, StatedRejection } from '@hornbeampond/schema';
import type { Timestamps } from '../entryEvents.js';
import { NewestStatements } from './NewestStatements.js';
import type { PoolServer } from './ServerBrittleness.js';

/** What was learnt holds as it is for this long, and has faded after the time below. */
const HOLD_MILLISECONDS: Milliseconds = 10_000;
const FADED_AFTER_MILLISECONDS: Milliseconds = 30_000;

/** Longer than others report it, so that none of their reports brings back what has faded. */
const RETENTION_MILLISECONDS: Milliseconds = 60_000;

/** An entry that knows little of the others takes the server for emptier than it was. */
const MIN_DECREASE_FACTOR = 0.7;

interface LearntRoom extends StatedRejection {
  readonly pool: string;
  readonly learntAt: MonotonicMilliseconds;
}

function hasFaded({ learntAt }: LearntRoom, now: MonotonicMilliseconds): boolean {
  return now - learntAt >= FADED_AFTER_MILLISECONDS;
}

function fade({ learntAt, usableFraction }: LearntRoom, now: MonotonicMilliseconds): number {
  const sinceHold = Math.max(0, now - learntAt - HOLD_MILLISECONDS);
  const fading = FADED_AFTER_MILLISECONDS - HOLD_MILLISECONDS;
  return usableFraction + (1 - usableFraction) * Math.min(1, sinceHold / fading);
}

export class ServerRejections {
  private readonly rooms = new NewestStatements<LearntRoom>();

  /** The part of a server's concurrency limit that may be used, from 0 to 1. */
  usableFraction(instance: string, pool: string, now: MonotonicMilliseconds): number {
    if (this.rooms.size === 0) return 1;
    const own = this.rooms.get(instance);
    if (own !== undefined && !hasFaded(own, now)) return fade(own, now);
    const fractions = this.rooms.values
      .filter((room) => room.pool === pool)
      .map((room) => fade(room, now));
    return Math.min(1, ...fractions);
  }

  /**
   * What a rejection that this entry got shows.
   *
   * @param usedFraction - Part of the concurrency limit that was in use, as far as it is known.
   */
  learn(
    { instance, pool }: PoolServer,
    usedFraction: number,
    { now, wallNow }: Timestamps,
  ): StatedRejection {
    const known = this.usableFraction(instance, pool, now);
    const usableFraction = Math.min(known, Math.max(usedFraction, known * MIN_DECREASE_FACTOR));
    return { usableFraction, statedAt: this.rooms.timeOfNext(instance, wallNow) };
  }

  /** Records a rejection of a request of this entry or of another one; false if it is not news. */
  record(
    { instance, pool }: PoolServer,
    stated: StatedRejection,
    now: MonotonicMilliseconds,
  ): boolean {
    return this.rooms.record(instance, { ...stated, pool, learntAt: now }) !== false;
  }

  /** What has not faded, for this entry's report to the others. */
  describe(now: MonotonicMilliseconds): Readonly<Record<string, StatedRejection>> {
    const rooms = Object.entries(this.rooms.describe());
    const recent = rooms.filter(([, room]) => !hasFaded(room, now));
    return Object.fromEntries(
      recent.map(([instance, { usableFraction, statedAt }]) => [
        instance,
        { usableFraction, statedAt },
      ]),
    );
  }

  retainRecent(now: MonotonicMilliseconds): void {
    this.rooms.forget((_, { learntAt }) => now - learntAt >= RETENTION_MILLISECONDS);
  }
}
