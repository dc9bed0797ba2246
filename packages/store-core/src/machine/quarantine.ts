/**
 * Finds the requests that crash backend servers. Only the crashes are stored and culprits are derived
 * from them, so that a crash reported in parts by several entries is attributed as one.
 *
 * Entries retry the requests of a crashed server on separate servers, so normally one request runs at
 * both the first and a second crash: the culprit. Several such requests cannot be distinguished, and
 * none of them is a culprit before it has run at `MIN_SHARED_CRASHES_FOR_QUARANTINE` crashes.
 */
import type {
  CrashResult,
  EpochMilliseconds,
  QuarantineRecord,
  ReportCrashCommand,
} from '@hornbeampond/schema';
import {
  CRASH_WINDOW_MILLISECONDS,
  MIN_SHARED_CRASHES_FOR_QUARANTINE,
  MAX_CRASHES,
  MAX_DIGESTS_PER_CRASH,
  QUARANTINE_DURATION_MILLISECONDS,
} from './constants.js';
import type { CrashRecord, MachineState } from './MachineState.js';

/** A crash with its culprits; once it has one, its other digests are exonerated of this crash. */
interface AttributedCrash {
  readonly crash: CrashRecord;
  readonly culprits: Set<string>;
}

/** The crashes attributed so far, by each digest that was running. */
type CrashesByDigest = Map<string, AttributedCrash[]>;

interface Candidate {
  readonly digest: string;
  /** Earlier crashes within the window of which the digest is not exonerated. */
  readonly priorCrashes: readonly AttributedCrash[];
}

function findCandidates(crash: CrashRecord, earlier: CrashesByDigest): Candidate[] {
  return crash.digests
    .map((digest) => ({
      digest,
      priorCrashes: (earlier.get(digest) ?? []).filter(
        ({ crash: { at }, culprits }) =>
          at + CRASH_WINDOW_MILLISECONDS > crash.at &&
          (culprits.size === 0 || culprits.has(digest)),
      ),
    }))
    .filter(({ priorCrashes }) => priorCrashes.length > 0);
}

function findCulprits(candidates: readonly Candidate[]): string[] {
  const knownCulprits = candidates.filter(({ digest, priorCrashes }) =>
    priorCrashes.some(({ culprits }) => culprits.has(digest)),
  );
  if (knownCulprits.length > 0) return knownCulprits.map(({ digest }) => digest);
  if (candidates.length === 1) return candidates.map(({ digest }) => digest);
  const repeated = candidates.filter(
    ({ priorCrashes }) => priorCrashes.length + 1 >= MIN_SHARED_CRASHES_FOR_QUARANTINE,
  );
  return repeated.map(({ digest }) => digest);
}

/** Makes the culprits those of their earlier crashes that had none, exonerating the other digests. */
function attributeEarlierCrashes(culprits: readonly string[], earlier: CrashesByDigest): void {
  const crashesOf = (digest: string) => earlier.get(digest) ?? [];
  const unattributed = new Set(
    culprits.flatMap(crashesOf).filter((attributed) => attributed.culprits.size === 0),
  );
  culprits.forEach((digest) => {
    crashesOf(digest)
      .filter((attributed) => unattributed.has(attributed))
      .forEach((attributed) => attributed.culprits.add(digest));
  });
}

/** Attributes all crashes, in the order of the log. */
function attributeCrashes(crashes: Iterable<CrashRecord>): AttributedCrash[] {
  const earlier: CrashesByDigest = new Map();
  return [...crashes].map((crash) => {
    const culprits = findCulprits(findCandidates(crash, earlier));
    const attributed = { crash, culprits: new Set(culprits) };
    attributeEarlierCrashes(culprits, earlier);
    crash.digests.forEach((digest) => {
      const crashesOfDigest = earlier.get(digest);
      if (crashesOfDigest === undefined) earlier.set(digest, [attributed]);
      else crashesOfDigest.push(attributed);
    });
    return attributed;
  });
}

/** The digests that are quarantined at the given time. */
export function quarantineAt(state: MachineState, at: EpochMilliseconds): QuarantineRecord[] {
  const quarantinedUntil = new Map<string, EpochMilliseconds>();
  attributeCrashes(state.crashes.values()).forEach(({ crash, culprits }) => {
    culprits.forEach((digest) =>
      quarantinedUntil.set(digest, crash.at + QUARANTINE_DURATION_MILLISECONDS),
    );
  });
  return [...quarantinedUntil]
    .filter(([, until]) => until > at)
    .map(([digest, until]) => ({ digest, until }));
}

/** Records a crash once for all its reports; returns which of the reported digests are quarantined. */
export function reportCrash(
  state: MachineState,
  at: EpochMilliseconds,
  command: ReportCrashCommand,
): CrashResult {
  const existing = state.crashes.get(command.crashId);
  const digests = [...new Set([...(existing?.digests ?? []), ...command.digests])];
  state.crashes.set(command.crashId, {
    at: existing?.at ?? at,
    digests: digests.slice(0, MAX_DIGESTS_PER_CRASH),
  });
  const reported = new Set(command.digests);
  const quarantined = quarantineAt(state, at)
    .map((entry) => entry.digest)
    .filter((digest) => reported.has(digest));
  return { type: 'crashCounted', quarantined };
}

/** Removes crashes too old to affect quarantine, and the oldest ones above `MAX_CRASHES`. */
export function pruneCrashes(state: MachineState, at: EpochMilliseconds): void {
  for (const [crashId, crash] of state.crashes) {
    const isExpired = crash.at + CRASH_WINDOW_MILLISECONDS + QUARANTINE_DURATION_MILLISECONDS <= at;
    if (!isExpired && state.crashes.size <= MAX_CRASHES) return;
    state.crashes.delete(crashId);
  }
}
