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

/** A crash while it is judged: once a digest is named for it, its neighbours are cleared of it. */
interface JudgedCrash {
  readonly crash: CrashRecord;
  readonly named: Set<string>;
}

/** What was judged so far, by each digest that was in progress. */
type CrashesByDigest = Map<string, JudgedCrash[]>;

interface Candidate {
  readonly digest: string;
  /** Earlier crashes within the window that the digest has not been cleared of. */
  readonly against: readonly JudgedCrash[];
}

function findCandidates(crash: CrashRecord, earlier: CrashesByDigest): Candidate[] {
  return crash.digests
    .map((digest) => ({
      digest,
      against: (earlier.get(digest) ?? []).filter(
        ({ crash: { at }, named }) =>
          at + CRASH_WINDOW_MILLISECONDS > crash.at && (named.size === 0 || named.has(digest)),
      ),
    }))
    .filter(({ against }) => against.length > 0);
}

function nameDigests(candidates: readonly Candidate[]): string[] {
  const known = candidates.filter(({ digest, against }) =>
    against.some(({ named }) => named.has(digest)),
  );
  if (known.length > 0) return known.map(({ digest }) => digest);
  if (candidates.length === 1) return candidates.map(({ digest }) => digest);
  const repeated = candidates.filter(
    ({ against }) => against.length + 1 >= MIN_SHARED_CRASHES_FOR_QUARANTINE,
  );
  return repeated.map(({ digest }) => digest);
}

/** Clears the neighbours of the named digests in earlier crashes that nobody was named for. */
function clearNeighbours(named: readonly string[], earlier: CrashesByDigest): void {
  const crashesOf = (digest: string) => earlier.get(digest) ?? [];
  const unnamed = new Set(named.flatMap(crashesOf).filter((judged) => judged.named.size === 0));
  named.forEach((digest) => {
    crashesOf(digest)
      .filter((judged) => unnamed.has(judged))
      .forEach((judged) => judged.named.add(digest));
  });
}

/** Judges all crashes in the log's order. */
function judge(crashes: Iterable<CrashRecord>): JudgedCrash[] {
  const earlier: CrashesByDigest = new Map();
  return [...crashes].map((crash) => {
    const named = nameDigests(findCandidates(crash, earlier));
    const judged = { crash, named: new Set(named) };
    clearNeighbours(named, earlier);
    crash.digests.forEach((digest) => {
      const known = earlier.get(digest);
      if (known === undefined) earlier.set(digest, [judged]);
      else known.push(judged);
    });
    return judged;
  });
}

/** The digests that are kept from backend servers at that time. */
export function quarantineAt(state: MachineState, at: EpochMilliseconds): QuarantineRecord[] {
  const until = new Map<string, EpochMilliseconds>();
  judge(state.crashes.values()).forEach(({ crash, named }) => {
    named.forEach((digest) => until.set(digest, crash.at + QUARANTINE_DURATION_MILLISECONDS));
  });
  return [...until].filter(([, end]) => end > at).map(([digest, end]) => ({ digest, until: end }));
}

/** Counts a crash once, whichever entries report it, and tells which of the digests are named. */
export function reportCrash(
  state: MachineState,
  at: EpochMilliseconds,
  command: ReportCrashCommand,
): CrashResult {
  const known = state.crashes.get(command.crashId);
  const digests = [...new Set([...(known?.digests ?? []), ...command.digests])];
  state.crashes.set(command.crashId, {
    at: known?.at ?? at,
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
    const isPast = crash.at + CRASH_WINDOW_MILLISECONDS + QUARANTINE_DURATION_MILLISECONDS <= at;
    if (!isPast && state.crashes.size <= MAX_CRASHES) return;
    state.crashes.delete(crashId);
  }
}
