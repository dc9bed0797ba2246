/** The sets of parts that are quarantined, and those that have been and may crash servers again. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { PartSet } from './partKey.js';
import { parsePartKey } from './partKey.js';

/** For how long one crash is enough to quarantine a part again. */
const RELAPSE_MILLISECONDS = 3_600_000;

interface QuarantinedSet extends PartSet {
  readonly endsAt: MonotonicMilliseconds;
}

function holdsAll(parts: readonly string[], set: PartSet): boolean {
  return set.parts.every((part) => parts.includes(part));
}

export class QuarantinedParts {
  private readonly sets = new Map<string, QuarantinedSet>();

  /** When one crash is no longer enough, by the key of a set that was quarantined. */
  private readonly former = new Map<string, MonotonicMilliseconds>();

  /** Has no effect for the digest of a request. */
  set(key: string, endsAt: MonotonicMilliseconds): void {
    const set = parsePartKey(key);
    if (set !== undefined) this.sets.set(key, { ...set, endsAt });
  }

  end(key: string, now: MonotonicMilliseconds): void {
    if (this.sets.delete(key)) this.former.set(key, now + RELAPSE_MILLISECONDS);
  }

  /** When the quarantine of a prompt with these parts ends; undefined if it is not quarantined. */
  endOf(pool: string, parts: readonly string[]): MonotonicMilliseconds | undefined {
    if (this.sets.size === 0) return undefined;
    const ends = [...this.sets.values()].flatMap((set) =>
      set.pool === pool && holdsAll(parts, set) ? [set.endsAt] : [],
    );
    return ends.length === 0 ? undefined : Math.max(...ends);
  }

  /** True for a single part whose quarantine has ended lately. */
  wasQuarantined(key: string, now: MonotonicMilliseconds): boolean {
    const until = this.former.get(key);
    if (until !== undefined && until <= now) this.former.delete(key);
    return until !== undefined && until > now;
  }
}
