/**
 * What a store keeps of the speeds of backend servers: the sums of the samples that entries report,
 * and the statements and restarts that it has not passed on yet. What one digest carries is
 * bounded, however many servers there are.
 */
import type { Milliseconds, MonotonicMilliseconds } from '../units.js';
import { DecayingSums } from './DecayingSums.js';
import type { WorkReport } from './entryMessages.js';
import {
  packSpeedSums,
  packStatement,
  unpackSpeedSums,
  unpackStatement,
  type PackedSpeedSums,
  type PackedStatement,
  type ServerSpeedsMessage,
} from './serverSpeeds.js';

/** At 20 digests a second and about 40 bytes for each server, 1.6 KB/s. */
const MAX_SUMS_PER_DIGEST = 2;

/** Sums change slowly, and the other samples of a server are not worth a message each. */
const MIN_SUMS_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** At 20 digests a second and about 20 bytes for each statement, at most 3.2 KB/s. */
const MAX_STATEMENTS_PER_DIGEST = 8;

/** An older statement says nothing about the present and is not passed on. */
const STATEMENT_EXPIRY_MILLISECONDS: Milliseconds = 1000;

/** Several entries report the same restart within the time in which lists and probes reach them. */
const RESTART_REPEAT_MILLISECONDS: Milliseconds = 5000;

/** Interval at which sums that have decayed are removed. */
const PRUNE_INTERVAL_MILLISECONDS: Milliseconds = 60_000;

interface ReceivedStatement {
  readonly timeFactor: number;
  readonly statedAt: MonotonicMilliseconds;
}

/** The last report of an entry that was applied. */
interface AppliedReport {
  readonly incarnation: number;
  readonly sequence: number;
}

export class SpeedTotals {
  private readonly sums = new DecayingSums();

  private readonly applied = new Map<string, AppliedReport>();

  /** Servers whose sums have changed since they were sent, the longest unsent first. */
  private readonly changedServers = new Set<string>();

  private readonly sentAt = new Map<string, MonotonicMilliseconds>();

  private readonly statements = new Map<string, ReceivedStatement>();

  private readonly unsentStatements = new Set<string>();

  private readonly restartedAt = new Map<string, MonotonicMilliseconds>();

  private readonly unsentRestarts = new Set<string>();

  private prunedAt: MonotonicMilliseconds = 0;

  /** Applies the speeds of a report, unless it or a later one was applied before. */
  apply(
    { instance, incarnation, sequence = 0, speeds }: WorkReport,
    now: MonotonicMilliseconds,
  ): void {
    if (speeds === undefined) return;
    const last = this.applied.get(instance);
    if (last !== undefined && incarnation < last.incarnation) return;
    if (last?.incarnation === incarnation && sequence <= last.sequence) return;
    this.applied.set(instance, { incarnation, sequence });
    const { restarted = [], sums = {}, stated = {} } = speeds;
    restarted.forEach((server) => this.restart(server, now));
    Object.entries(sums).forEach(([server, packed]) => this.addSums(server, packed, now));
    Object.entries(stated).forEach(([server, packed]) => this.receive(server, packed, now));
  }

  /** Forgets which reports of an entry were applied; its samples stay. */
  removeEntry(instance: string): void {
    this.applied.delete(instance);
  }

  /** What the next digest carries; undefined if nothing. */
  takeChanges(now: MonotonicMilliseconds): ServerSpeedsMessage | undefined {
    if (now - this.prunedAt > PRUNE_INTERVAL_MILLISECONDS) this.prune(now);
    const sums = this.takeSums(now);
    const stated = this.takeStatements(now);
    const restarted = [...this.unsentRestarts];
    this.unsentRestarts.clear();
    return SpeedTotals.makeMessage(sums, stated, restarted);
  }

  /** All sums and recent statements, for an entry that knows none. */
  describeAll(now: MonotonicMilliseconds): ServerSpeedsMessage | undefined {
    const sums = this.sums.serverNames.map((server) => this.describeSums(server, now));
    const recent = [...this.statements].filter(([, { statedAt }]) =>
      SpeedTotals.isRecent(statedAt, now),
    );
    const stated = recent.map(
      ([server, { timeFactor, statedAt }]) =>
        [server, packStatement(timeFactor, now - statedAt)] as const,
    );
    return SpeedTotals.makeMessage(sums, stated, []);
  }

  private static isRecent(statedAt: MonotonicMilliseconds, now: MonotonicMilliseconds): boolean {
    return now - statedAt < STATEMENT_EXPIRY_MILLISECONDS;
  }

  private static makeMessage(
    sums: readonly (readonly [string, PackedSpeedSums])[],
    stated: readonly (readonly [string, PackedStatement])[],
    restarted: readonly string[],
  ): ServerSpeedsMessage | undefined {
    if (sums.length + stated.length + restarted.length === 0) return undefined;
    return {
      ...(sums.length === 0 ? {} : { sums: Object.fromEntries(sums) }),
      ...(stated.length === 0 ? {} : { stated: Object.fromEntries(stated) }),
      ...(restarted.length === 0 ? {} : { restarted }),
    };
  }

  private restart(server: string, now: MonotonicMilliseconds): void {
    const last = this.restartedAt.get(server);
    if (last !== undefined && now - last < RESTART_REPEAT_MILLISECONDS) return;
    this.restartedAt.set(server, now);
    this.unsentRestarts.add(server);
    this.sums.remove(server);
    this.changedServers.delete(server);
    this.statements.delete(server);
    this.unsentStatements.delete(server);
  }

  private addSums(server: string, packed: PackedSpeedSums, now: MonotonicMilliseconds): void {
    this.sums.add(server, unpackSpeedSums(packed), now);
    this.changedServers.add(server);
  }

  private receive(server: string, packed: PackedStatement, now: MonotonicMilliseconds): void {
    const { timeFactor, age } = unpackStatement(packed);
    const statedAt = now - age;
    if (statedAt <= (this.statements.get(server)?.statedAt ?? -Infinity)) return;
    this.statements.set(server, { timeFactor, statedAt });
    this.unsentStatements.add(server);
  }

  private describeSums(server: string, now: MonotonicMilliseconds) {
    const sums = this.sums.read(server, now);
    return [server, sums === undefined ? [] : packSpeedSums(sums)] as const;
  }

  private takeSums(now: MonotonicMilliseconds) {
    const due: string[] = [];
    for (const server of this.changedServers) {
      const age = now - (this.sentAt.get(server) ?? -Infinity);
      if (age >= MIN_SUMS_INTERVAL_MILLISECONDS) due.push(server);
      if (due.length === MAX_SUMS_PER_DIGEST) break;
    }
    return due.map((server) => {
      this.changedServers.delete(server);
      this.sentAt.set(server, now);
      return this.describeSums(server, now);
    });
  }

  private takeStatements(now: MonotonicMilliseconds) {
    const taken: (readonly [string, PackedStatement])[] = [];
    for (const server of this.unsentStatements) {
      if (taken.length === MAX_STATEMENTS_PER_DIGEST) break;
      this.unsentStatements.delete(server);
      const stated = this.statements.get(server);
      if (stated !== undefined && SpeedTotals.isRecent(stated.statedAt, now)) {
        taken.push([server, packStatement(stated.timeFactor, now - stated.statedAt)]);
      }
    }
    return taken;
  }

  private prune(now: MonotonicMilliseconds): void {
    this.prunedAt = now;
    this.sums.prune(now);
    const known = new Set(this.sums.serverNames);
    [this.sentAt, this.statements, this.restartedAt].forEach((values) => {
      [...values.keys()]
        .filter((server) => !known.has(server))
        .forEach((server) => {
          values.delete(server);
        });
    });
  }
}
