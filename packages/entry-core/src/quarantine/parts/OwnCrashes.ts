/** The crashes that this entry has seen itself, and what it has still to report of them. */
import type {
  CrashEvidence,
  Milliseconds,
  MonotonicMilliseconds,
  SoundPart,
} from '@hornbeampond/schema';
import type { PartSet } from './partKey.js';

/** A report may be lost with its entry's store, so each thing is in three of them. */
const REPORTED_MILLISECONDS: Milliseconds = 3000;

const KEPT_MILLISECONDS: Milliseconds = 120_000;
const MAX_KEPT = 64;

interface Kept<Value> {
  readonly value: Value;
  readonly addedAt: MonotonicMilliseconds;
}

/** A crash under the name that it has in the stores' log. */
export interface OwnCrash {
  readonly crashId: string;
  readonly evidence: CrashEvidence;
}

function listRecent<Value>(
  kept: readonly Kept<Value>[],
  now: MonotonicMilliseconds,
  age: Milliseconds,
): Kept<Value>[] {
  return kept.filter(({ addedAt }) => now - addedAt < age).slice(-MAX_KEPT);
}

export class OwnCrashes {
  private crashes: Kept<OwnCrash>[] = [];

  private soundParts: Kept<SoundPart>[] = [];

  addCrash(crash: OwnCrash, now: MonotonicMilliseconds): void {
    this.crashes = [
      ...listRecent(this.crashes, now, KEPT_MILLISECONDS),
      { value: crash, addedAt: now },
    ];
  }

  addSoundParts(parts: readonly SoundPart[], now: MonotonicMilliseconds): void {
    const added = parts.map((value) => ({ value, addedAt: now }));
    this.soundParts = [...listRecent(this.soundParts, now, REPORTED_MILLISECONDS), ...added];
  }

  /** Crashes seen here at which a request held all of these parts. */
  listCrashesOf({ pool, parts }: PartSet): OwnCrash[] {
    return this.crashes
      .map(({ value }) => value)
      .filter(({ evidence }) => evidence.pool === pool)
      .filter(({ evidence: { unanswered } }) =>
        unanswered.some((request) => parts.every((part) => request.parts.includes(part))),
      );
  }

  /** For this entry's next report; empty in nearly all of them. */
  describe(now: MonotonicMilliseconds): {
    readonly crashEvidence?: readonly CrashEvidence[];
    readonly soundParts?: readonly SoundPart[];
  } {
    const crashes = listRecent(this.crashes, now, REPORTED_MILLISECONDS);
    const sound = listRecent(this.soundParts, now, REPORTED_MILLISECONDS);
    return {
      ...(crashes.length === 0
        ? {}
        : { crashEvidence: crashes.map(({ value: { evidence } }) => evidence) }),
      ...(sound.length === 0 ? {} : { soundParts: sound.map(({ value }) => value) }),
    };
  }
}
