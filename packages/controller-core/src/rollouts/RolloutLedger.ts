/**
 * Sums what all entries have reported of the roll-outs. An entry sends its complete counts each time,
 * so the latest report of each run of an entry is kept, and those of ended runs stay in the sum.
 */
import type {
  AnswerCounts,
  EntryReport,
  EpochMilliseconds,
  Rollout,
  RolloutEvidence,
} from '@hornbeampond/schema';

export interface VersionCounts {
  readonly previous: AnswerCounts;
  readonly next: AnswerCounts;
}

const NO_ANSWERS: AnswerCounts = { answers: 0, bad: 0 };

function add(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  const slow = (a.slow ?? 0) + (b.slow ?? 0);
  const timed = (a.timed ?? 0) + (b.timed ?? 0);
  return { answers: a.answers + b.answers, bad: a.bad + b.bad, slow, timed };
}

export function addVersions(a: VersionCounts, b: VersionCounts): VersionCounts {
  return { previous: add(a.previous, b.previous), next: add(a.next, b.next) };
}

export const NO_VERSION_ANSWERS: VersionCounts = { previous: NO_ANSWERS, next: NO_ANSWERS };

interface ReceivedEvidence {
  readonly instance: string;
  readonly incarnation: EpochMilliseconds;
  readonly evidence: RolloutEvidence;
}

export class RolloutLedger {
  /** By pool, start of the roll-out and run of an entry. */
  private readonly evidence = new Map<string, ReceivedEvidence>();

  receive({ instance, incarnation, rollouts = [] }: EntryReport): void {
    rollouts.forEach((evidence) => {
      const key = `${evidence.pool}/${evidence.startedAt}/${instance}/${incarnation}`;
      this.evidence.set(key, { instance, incarnation, evidence });
    });
  }

  /** The answers of each route. */
  countByRoute(rollout: Rollout): Map<string, VersionCounts> {
    const counts = new Map<string, VersionCounts>();
    this.list(rollout).forEach(({ evidence }) => {
      evidence.routes.forEach(({ route, previous, next }) => {
        const known = counts.get(route) ?? NO_VERSION_ANSWERS;
        counts.set(route, addVersions(known, { previous, next }));
      });
    });
    return counts;
  }

  /** Attempts at the new version that ended without an answer. */
  countSilences(rollout: Rollout): number {
    return this.list(rollout).reduce((sum, { evidence }) => sum + (evidence.silences ?? 0), 0);
  }

  /** Live instances of the new version that entries know; undefined if none of these said so. */
  countNextInstances(rollout: Rollout, entries: readonly string[]): number | undefined {
    const known = [...this.findLatest(rollout)]
      .filter(([entry]) => entries.includes(entry))
      .flatMap(([, { evidence }]) => evidence.nextInstances ?? []);
    return known.length === 0 ? undefined : Math.max(...known);
  }

  /**
   * True if every one of these entries has reported the share in force, and that no attempt is in
   * progress at the old version.
   */
  isPreviousIdle(rollout: Rollout, entries: readonly string[]): boolean {
    const latest = this.findLatest(rollout);
    return entries.every((entry) => {
      const received = latest.get(entry)?.evidence;
      return received?.share === rollout.share && received.inProgressAtPrevious === 0;
    });
  }

  /** Removes what belongs to roll-outs that have ended. */
  keepOnly(running: readonly Rollout[]): void {
    this.evidence.forEach(({ evidence: { pool, startedAt } }, key) => {
      const isRunning = running.some(
        (rollout) => rollout.pool === pool && rollout.startedAt === startedAt,
      );
      if (!isRunning) this.evidence.delete(key);
    });
  }

  /** What the latest run of each entry has reported. */
  private findLatest(rollout: Rollout): Map<string, ReceivedEvidence> {
    const latest = new Map<string, ReceivedEvidence>();
    this.list(rollout).forEach((received) => {
      const known = latest.get(received.instance);
      if (known === undefined || known.incarnation < received.incarnation) {
        latest.set(received.instance, received);
      }
    });
    return latest;
  }

  private list({ pool, startedAt }: Rollout): ReceivedEvidence[] {
    return [...this.evidence.values()].filter(
      ({ evidence }) => evidence.pool === pool && evidence.startedAt === startedAt,
    );
  }
}
