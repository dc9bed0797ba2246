/**
 * Finds the requests that crash backend servers. What is kept is the crashes; who is named follows
 * from them, so that a crash reported in parts by several entries is judged as one.
 *
 * All that ran on a crashed backend server are suspects, which entries run again apart from each
 * other. The second crash then has one suspect among its requests, and that one is named. Where
 * several suspects crashed together twice, the crash does not tell them apart: none is named until
 * `INSEPARABLE_CRASHES`, so that an innocent neighbour costs at most one more backend server
 * rather than being refused.
 */
import type {
  CrashResult,
  EpochMilliseconds,
  QuarantineEntry,
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

/** A crash while it is judged: once a digest is named for it, its neighbours are cleared of it. */
interface AttributedCrash {
  readonly crash: CrashRecord;
  readonly culprits: Set<string>;
}

/** What was judged so far, by each digest that was in progress. */
type CrashesByDigest = Map<string, AttributedCrash[]>;

interface Candidate {
  readonly digest: string;
  /** Earlier crashes within the window that the digest has not been cleared of. */
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

/** Clears the neighbours of the named digests in earlier crashes that nobody was named for. */
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

/** Judges all crashes in the log's order. */
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

/** The digests that are kept from backend servers at that time. */
export function quarantineAt(state: MachineState, at: EpochMilliseconds): QuarantineEntry[] {
  const quarantinedUntil = new Map<string, EpochMilliseconds>();
  attributeCrashes(state.crashes.values()).forEach(({ crash, culprits }) => {
    culprits.forEach((digest) =>
      quarantinedUntil.set(digest, crash.at + QUARANTINE_DURATION_MILLISECONDS),
    );
  });
  return [...quarantinedUntil]
    .filter(([, end]) => end > at)
    .map(([digest, until]) => ({ digest, until }));
}

/** Counts a crash once, whichever entries report it, and tells which of the digests are named. */
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

/** Drops crashes that can neither count nor quarantine any more, or are too many. */
export function pruneCrashes(state: MachineState, at: EpochMilliseconds): void {
  for (const [crashId, crash] of state.crashes) {
    const isExpired = crash.at + CRASH_WINDOW_MILLISECONDS + QUARANTINE_DURATION_MILLISECONDS <= at;
    if (!isExpired && state.crashes.size <= MAX_CRASHES) return;
    state.crashes.delete(crashId);
  }
}
