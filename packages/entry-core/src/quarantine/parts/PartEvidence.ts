/**
 * What this entry knows of crashes that may be due to a part of a prompt: from its own requests and
 * from the reports of other entries, each of which sees only its own part of a crash.
 */
import type {
  CrashEvidence,
  EpochMilliseconds,
  Milliseconds,
  MonotonicMilliseconds,
  SoundPart,
} from '@hornbeampond/schema';
import { chooseCulprits, type UnexplainedCrash } from './chooseCulprits.js';
import type { PartSet } from './partKey.js';

/** What is kept at most; the oldest crash goes first. News of a crash may take a second or more. */
const MAX_CRASHES = 128;

/** The newest that are settled and not explained; comparing them takes time at each tick after a crash. */
const MAX_COMPARED_CRASHES = 64;

const MAX_PARTS_PER_CRASH = 256;
const MAX_BEGUN_PARTS = 4096;

/** Crashes further apart than this are not compared. */
const WINDOW_MILLISECONDS: Milliseconds = 120_000;

/** A server that crashes is back after seconds, so what entries report of it belongs to one crash. */
const SAME_CRASH_MILLISECONDS: Milliseconds = 2000;

/** Until other entries have said that a part is sound. */
export const SETTLING_MILLISECONDS: Milliseconds = 300;

/** Ticks may be late, and soundness that is learnt a little later may tell two parts apart. */
const CHECKED_MILLISECONDS: Milliseconds = 1000;

interface Crash {
  readonly backendServer: string;
  readonly pool: string;
  readonly at: EpochMilliseconds;
  readonly learntAt: MonotonicMilliseconds;
  /** Parts of the requests that had brought nothing, by digest. */
  readonly requests: Map<string, readonly string[]>;
}

function keyOf(pool: string, part: string): string {
  return `${pool}\n${part}`;
}

export class PartEvidence {
  private crashes: Crash[] = [];

  /** When the last answer to a request with the part has begun, by pool and part. */
  private readonly begunHere = new Map<string, EpochMilliseconds>();

  /** The same as other entries have reported it, or as this one has. */
  private readonly begunAsReported = new Map<string, EpochMilliseconds>();

  private lastLearntAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  get isEmpty(): boolean {
    return this.crashes.length === 0;
  }

  /** True for a while after each crash; without another one nothing becomes a culprit. */
  mayHaveCulprits(now: MonotonicMilliseconds, transit: Milliseconds): boolean {
    return now - this.lastLearntAt < SETTLING_MILLISECONDS + transit + CHECKED_MILLISECONDS;
  }

  addCrash(evidence: CrashEvidence, now: MonotonicMilliseconds): void {
    const { backendServer, pool, at, unanswered } = evidence;
    const crash = this.findCrash(evidence) ?? {
      backendServer,
      pool,
      at,
      learntAt: now,
      requests: new Map<string, readonly string[]>(),
    };
    if (!this.crashes.includes(crash)) {
      this.lastLearntAt = now;
      this.crashes.push(crash);
      if (this.crashes.length > MAX_CRASHES) this.crashes.shift();
    }
    let partCount = [...crash.requests.values()].flat().length;
    unanswered.forEach(({ digest, parts }) => {
      partCount += parts.length;
      if (partCount <= MAX_PARTS_PER_CRASH) crash.requests.set(digest, parts);
    });
  }

  /** Records that an answer of this entry has got past its beginning. */
  recordBegun(pool: string, parts: readonly string[], at: EpochMilliseconds): void {
    parts.forEach((part) => {
      const key = keyOf(pool, part);
      // Set anew, so that the parts that have not been seen for longest come first.
      this.begunHere.delete(key);
      this.begunHere.set(key, at);
    });
    for (const oldest of this.begunHere.keys()) {
      if (this.begunHere.size <= MAX_BEGUN_PARTS) break;
      this.begunHere.delete(oldest);
    }
  }

  /** Records that a part is sound, as another entry has reported or as this one is about to. */
  recordSound({ pool, part, at }: SoundPart): void {
    const key = keyOf(pool, part);
    if (at > (this.begunAsReported.get(key) ?? -Infinity)) this.begunAsReported.set(key, at);
  }

  /**
   * Parts that several crashes have made suspect and that this entry knows to be sound, as far as no
   * entry has said so.
   */
  takeNewlySound(): SoundPart[] {
    const crashTimes = new Map<string, EpochMilliseconds[]>();
    this.crashes.forEach(({ pool, at, requests }) => {
      new Set([...requests.values()].flat()).forEach((part) => {
        const key = keyOf(pool, part);
        if (at < (this.begunAsReported.get(key) ?? -Infinity)) return;
        crashTimes.set(key, [...(crashTimes.get(key) ?? []), at]);
      });
    });
    return [...crashTimes].flatMap(([key, times]) => {
      const at = this.begunHere.get(key) ?? -Infinity;
      if (times.length < 2 || at <= Math.min(...times)) return [];
      const [pool = '', part = ''] = key.split('\n');
      const sound = { pool, part, at };
      this.recordSound(sound);
      return [sound];
    });
  }

  /** Sets of parts that explain crashes which `isExplained` does not know the cause of. */
  findCulprits(
    isExplained: (crash: PartSet) => boolean,
    isKnownCulprit: (pool: string, part: string) => boolean,
    now: MonotonicMilliseconds,
    transit: Milliseconds,
  ): PartSet[] {
    const settled = this.crashes.filter(
      ({ learntAt }) => now - learntAt >= SETTLING_MILLISECONDS + transit,
    );
    const pools = new Set(settled.map(({ pool }) => pool));
    return [...pools].flatMap((pool) => {
      const unexplained = settled
        .filter((crash) => crash.pool === pool)
        .filter(({ requests }) =>
          [...requests.values()].every((parts) => !isExplained({ pool, parts })),
        )
        .slice(-MAX_COMPARED_CRASHES)
        .map((crash) => this.toUnexplained(crash));
      const isKnown = (part: string) => isKnownCulprit(pool, part);
      return chooseCulprits(unexplained, isKnown).map((parts) => ({ pool, parts }));
    });
  }

  /**
   * True if other requests than this one held a part at the last crash of the server and at another
   * crash, so that the part may have caused both.
   */
  hasRival(digest: string, backendServer: string): boolean {
    const last = this.crashes.findLast((crash) => crash.backendServer === backendServer);
    if (last === undefined) return false;
    const listParts = (crash: Crash) =>
      [...this.toUnexplained(crash).candidates].flatMap(([part, digests]) =>
        [...digests].some((other) => other !== digest) ? [part] : [],
      );
    const partsElsewhere = new Set(
      this.crashes
        .filter((crash) => crash !== last && crash.pool === last.pool)
        .flatMap((crash) => listParts(crash)),
    );
    return listParts(last).some((part) => partsElsewhere.has(part));
  }

  /** Backend servers at whose crashes a request held all of these parts. */
  listCrashedServers({ pool, parts }: PartSet): string[] {
    return this.crashes
      .filter((crash) => crash.pool === pool)
      .filter(({ requests }) =>
        [...requests.values()].some((held) => parts.every((part) => held.includes(part))),
      )
      .map(({ backendServer }) => backendServer);
  }

  expire(wallNow: EpochMilliseconds): void {
    if (this.crashes.length === 0) return;
    this.crashes = this.crashes.filter(({ at }) => wallNow - at < WINDOW_MILLISECONDS);
    if (this.crashes.length === 0) this.begunAsReported.clear();
  }

  private findCrash({ backendServer, pool, at }: CrashEvidence): Crash | undefined {
    return this.crashes.find(
      (crash) =>
        crash.backendServer === backendServer &&
        crash.pool === pool &&
        Math.abs(crash.at - at) <= SAME_CRASH_MILLISECONDS,
    );
  }

  private toUnexplained({ pool, at, requests }: Crash): UnexplainedCrash {
    const candidates = new Map<string, Set<string>>();
    requests.forEach((parts, digest) =>
      parts.forEach((part) => {
        if (this.lastBegunAt(pool, part) >= at) return;
        candidates.set(part, (candidates.get(part) ?? new Set()).add(digest));
      }),
    );
    return { at, candidates };
  }

  private lastBegunAt(pool: string, part: string): EpochMilliseconds {
    const key = keyOf(pool, part);
    return Math.max(
      this.begunHere.get(key) ?? -Infinity,
      this.begunAsReported.get(key) ?? -Infinity,
    );
  }
}
