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
  CRASH_WINDOW,
  INSEPARABLE_CRASHES,
  MOST_CRASHES,
  MOST_DIGESTS_PER_CRASH,
  QUARANTINE_DURATION,
} from './constants.js';
import type { CrashRecord, MachineState } from './MachineState.js';

/** A crash while it is judged: once a digest is named for it, its neighbours are cleared of it. */
interface JudgedCrash {
  readonly crash: CrashRecord;
  named: readonly string[];
}

/** Earlier crashes within the window that the digest has not been cleared of. */
function crashesAgainst(
  digest: string,
  earlier: readonly JudgedCrash[],
  at: EpochMilliseconds,
): JudgedCrash[] {
  return earlier.filter(
    ({ crash, named }) =>
      crash.at + CRASH_WINDOW > at &&
      crash.digests.includes(digest) &&
      (named.length === 0 || named.includes(digest)),
  );
}

function nameDigests(crash: CrashRecord, earlier: readonly JudgedCrash[]): readonly string[] {
  const counted = crash.digests.map((digest) => ({
    digest,
    against: crashesAgainst(digest, earlier, crash.at),
  }));
  const suspects = counted.filter(({ against }) => against.length > 0);
  const known = suspects.filter(({ digest, against }) =>
    against.some(({ named }) => named.includes(digest)),
  );
  const repeated = suspects.filter(({ against }) => against.length + 1 >= INSEPARABLE_CRASHES);
  if (known.length > 0) return known.map(({ digest }) => digest);
  if (suspects.length === 1) return suspects.map(({ digest }) => digest);
  return repeated.map(({ digest }) => digest);
}

/** Judges all crashes in the log's order. */
function judge(crashes: Iterable<CrashRecord>): JudgedCrash[] {
  const judged: JudgedCrash[] = [];
  for (const crash of crashes) {
    const named = nameDigests(crash, judged);
    judged
      .filter((earlier) => earlier.named.length === 0)
      .forEach((earlier) => {
        earlier.named = named.filter((digest) => earlier.crash.digests.includes(digest));
      });
    judged.push({ crash, named });
  }
  return judged;
}

/** The digests that are kept from backend servers at that time. */
export function quarantineAt(state: MachineState, at: EpochMilliseconds): QuarantineEntry[] {
  const until = new Map<string, EpochMilliseconds>();
  judge(state.crashes.values()).forEach(({ crash, named }) => {
    named.forEach((digest) => until.set(digest, crash.at + QUARANTINE_DURATION));
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
    digests: digests.slice(0, MOST_DIGESTS_PER_CRASH),
  });
  const reported = new Set(command.digests);
  const quarantined = quarantineAt(state, at)
    .map((entry) => entry.digest)
    .filter((digest) => reported.has(digest));
  return { type: 'crashCounted', quarantined };
}

/** Drops crashes that can neither count nor quarantine any more, or are too many. */
export function forgetCrashes(state: MachineState, at: EpochMilliseconds): void {
  for (const [crashId, crash] of state.crashes) {
    const isPast = crash.at + CRASH_WINDOW + QUARANTINE_DURATION <= at;
    if (!isPast && state.crashes.size <= MOST_CRASHES) return;
    state.crashes.delete(crashId);
  }
}
