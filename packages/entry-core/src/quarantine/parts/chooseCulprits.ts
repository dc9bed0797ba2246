/**
 * Finds the parts of prompts under which backend servers crash. A crash is due to one of the requests
 * that had brought nothing of their answers, and so to one of their parts. A part with which a request
 * has got past the beginning of its answer since is not the one, so each answer rules parts out as
 * each crash adds some. What is left in several crashes is the culprit; where several parts are left in
 * the same crashes, prompts that hold all of them are, until one of these crashes tells them apart.
 */
import type { EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

/** A crash for which no culprit is known yet; it may have no candidates. */
export interface UnexplainedCrash {
  readonly at: EpochMilliseconds;
  /** Digests of the requests, by each part that may have caused the crash. */
  readonly candidates: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Servers that crash this soon after each other may have the same cause, which is no request. */
const SAME_OCCASION_MILLISECONDS: Milliseconds = 400;

/**
 * A sound part that is rare may be among the candidates of two crashes by chance. Five crashes are what
 * callers may suffer, so one more is waited for.
 */
const MIN_OCCASIONS = 3;

/** One request alone is found by its digest. */
const MIN_REQUESTS = 2;

interface SuspectPart {
  readonly part: string;
  readonly crashes: readonly UnexplainedCrash[];
  readonly digests: ReadonlySet<string>;
}

/** Groups crashes by their moments. */
function groupByOccasion(crashes: readonly UnexplainedCrash[]): UnexplainedCrash[][] {
  const occasions: UnexplainedCrash[][] = [];
  let startedAt = Number.NEGATIVE_INFINITY;
  [...crashes]
    .sort((a, b) => a.at - b.at)
    .forEach((crash) => {
      const last = occasions[occasions.length - 1];
      if (last !== undefined && crash.at - startedAt < SAME_OCCASION_MILLISECONDS) {
        last.push(crash);
        return;
      }
      startedAt = crash.at;
      occasions.push([crash]);
    });
  return occasions;
}

/**
 * Counts the occasions at which `explained` are at least half of the crashes. Where most servers crash
 * without a request that holds the part, something else has happened.
 */
function countOccasions(
  occasions: readonly (readonly UnexplainedCrash[])[],
  explained: readonly UnexplainedCrash[],
): number {
  return occasions.filter((occasion) => {
    const count = occasion.filter((crash) => explained.includes(crash)).length;
    return count > 0 && count * 2 >= occasion.length;
  }).length;
}

function listSuspectParts(crashes: readonly UnexplainedCrash[]): SuspectPart[] {
  const byPart = new Map<string, { crashes: UnexplainedCrash[]; digests: Set<string> }>();
  crashes.forEach((crash) =>
    crash.candidates.forEach((digests, part) => {
      const known = byPart.get(part) ?? { crashes: [], digests: new Set<string>() };
      known.crashes.push(crash);
      digests.forEach((digest) => known.digests.add(digest));
      byPart.set(part, known);
    }),
  );
  return [...byPart].map(([part, known]) => ({ part, ...known }));
}

function hasSameCrashes(a: SuspectPart, b: SuspectPart): boolean {
  return (
    a.crashes.length === b.crashes.length && a.crashes.every((crash) => b.crashes.includes(crash))
  );
}

function isConvicted(
  { part, crashes, digests }: SuspectPart,
  occasions: readonly (readonly UnexplainedCrash[])[],
  isKnownCulprit: (part: string) => boolean,
): boolean {
  if (isKnownCulprit(part)) return true;
  return countOccasions(occasions, crashes) >= MIN_OCCASIONS && digests.size >= MIN_REQUESTS;
}

/** The next culprit, or undefined if there is none or if it cannot be told from another one. */
function chooseNext(
  crashes: readonly UnexplainedCrash[],
  isKnownCulprit: (part: string) => boolean,
): SuspectPart[] | undefined {
  const occasions = groupByOccasion(crashes);
  const convicted = listSuspectParts(crashes)
    .filter((suspect) => isConvicted(suspect, occasions, isKnownCulprit))
    .sort((a, b) => b.crashes.length - a.crashes.length);
  const first = convicted.find(({ part }) => isKnownCulprit(part)) ?? convicted[0];
  if (first === undefined || isKnownCulprit(first.part)) return first && [first];
  const rivals = convicted.filter(({ crashes: { length } }) => length === first.crashes.length);
  const group = rivals.filter((rival) => hasSameCrashes(rival, first));
  const others = rivals.filter((rival) => !group.includes(rival));
  const itsOwn = first.crashes.filter(
    (crash) => !others.some((other) => other.crashes.includes(crash)),
  );
  const isShared = itsOwn.length < first.crashes.length;
  if (isShared && countOccasions(occasions, itsOwn) < MIN_OCCASIONS) return undefined;
  return group;
}

/**
 * @param crashes - Of one pool.
 * @param isKnownCulprit - True for a part that has been a culprit before; one crash convicts it again.
 * @returns Sets of parts, each with the crashes that it explains.
 */
export function chooseCulprits(
  crashes: readonly UnexplainedCrash[],
  isKnownCulprit: (part: string) => boolean = () => false,
): readonly (readonly string[])[] {
  const culprits: string[][] = [];
  let unexplained = crashes;
  for (;;) {
    const group = chooseNext(unexplained, isKnownCulprit);
    const [first] = group ?? [];
    if (group === undefined || first === undefined) return culprits;
    culprits.push(group.map(({ part }) => part));
    unexplained = unexplained.filter((crash) => !first.crashes.includes(crash));
  }
}
