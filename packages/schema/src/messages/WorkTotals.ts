/**
 * Adds up the work that entries report at backend servers. Keeps what each entry reported last, so
 * that its part can be replaced or removed, and which sums have changed since they were last taken.
 */
import type { ServerWork, WorkReport, WorkSums } from './entryMessages.js';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

/** The work of one entry, by backend server. */
interface EntryWork {
  readonly incarnation: number;
  sequence: number | undefined;
  work: Map<string, ServerWork>;
}

/** Changed sums, and the work reports that they include, by entry. */
export interface WorkChanges {
  readonly work: WorkSums;
  readonly included: Readonly<Record<string, number>>;
}

export class WorkTotals {
  private readonly entries = new Map<string, EntryWork>();

  /** By backend server; servers without work are missing. */
  private readonly totals = new Map<string, ServerWork>();

  private readonly changedServers = new Set<string>();

  private readonly changedEntries = new Set<string>();

  /** Work of all entries at a backend server. */
  at(server: string): ServerWork {
    return this.totals.get(server) ?? NO_WORK;
  }

  /**
   * Applies a report. Reports of an earlier incarnation, and those that arrive after a later one of
   * the same incarnation, are ignored; a new incarnation replaces all work of its predecessor.
   */
  apply({ instance, incarnation, sequence, work, isWhole = false }: WorkReport): void {
    const known = this.entries.get(instance);
    if (known !== undefined && incarnation < known.incarnation) return;
    const isSameRun = known !== undefined && incarnation === known.incarnation;
    if (isSameRun && sequence !== undefined && sequence <= (known.sequence ?? 0)) return;
    const reported = new Map(Object.entries(work));
    const previous = known?.work ?? new Map<string, ServerWork>();
    const keepsUnlisted = isSameRun && !isWhole;
    const current = new Map(keepsUnlisted ? previous : []);
    reported.forEach((value, server) => {
      if (value.inProgress > 0 || value.promptTokens > 0) current.set(server, value);
      else current.delete(server);
    });
    new Set([...previous.keys(), ...reported.keys()]).forEach((server) =>
      this.replace(server, previous.get(server), current.get(server)),
    );
    this.entries.set(instance, { incarnation, sequence, work: current });
    this.changedEntries.add(instance);
  }

  /** Removes all work of an entry that has ended or cannot be reached. */
  remove(instance: string): void {
    this.entries
      .get(instance)
      ?.work.forEach((value, server) => this.replace(server, value, undefined));
    this.entries.delete(instance);
    this.changedEntries.delete(instance);
  }

  /** Returns and clears the changes since the last call; undefined if there are none. */
  takeChanges(): WorkChanges | undefined {
    if (this.changedServers.size === 0 && this.changedEntries.size === 0) return undefined;
    const changes = this.describe(this.changedServers, this.changedEntries);
    this.changedServers.clear();
    this.changedEntries.clear();
    return changes;
  }

  /** All sums, for a receiver that knows none. */
  describeAll(): WorkChanges {
    return this.describe(this.totals.keys(), this.entries.keys());
  }

  private describe(servers: Iterable<string>, entries: Iterable<string>): WorkChanges {
    const names = [...servers];
    const sums = names.map((server) => this.at(server));
    const included: Record<string, number> = {};
    for (const entry of entries) {
      const sequence = this.entries.get(entry)?.sequence;
      if (sequence !== undefined) included[entry] = sequence;
    }
    return {
      work: {
        servers: names,
        inProgress: sums.map(({ inProgress }) => inProgress),
        promptTokens: sums.map(({ promptTokens }) => promptTokens),
      },
      included,
    };
  }

  private replace(
    server: string,
    previous: ServerWork = NO_WORK,
    current: ServerWork = NO_WORK,
  ): void {
    const inProgress = current.inProgress - previous.inProgress;
    const promptTokens = current.promptTokens - previous.promptTokens;
    if (inProgress === 0 && promptTokens === 0) return;
    const total = this.at(server);
    const updated = {
      inProgress: total.inProgress + inProgress,
      promptTokens: total.promptTokens + promptTokens,
    };
    if (updated.inProgress > 0 || updated.promptTokens > 0) this.totals.set(server, updated);
    else this.totals.delete(server);
    this.changedServers.add(server);
  }
}
