/**
 * Tracks the work that the other entries have in progress at backend servers, from their reports,
 * and the changes of this entry's own work that are still to be reported. Load reports of backend
 * servers can be seconds old and omit prompts without a first token; with these alone, several
 * entries would send long prompts to one engine while others are idle.
 */
import type { MonotonicMilliseconds, ServerWork, WorkReport } from '@hornbeampond/schema';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

interface ReportedWork {
  readonly incarnation: number;
  /** By backend server. */
  readonly work: Map<string, ServerWork>;
}

const MIN_REPORT_INTERVAL_MILLISECONDS = 50;
/** With more entries the interval grows in proportion, so that report traffic stays bounded. */
const MAX_ENTRIES_AT_MIN_INTERVAL = 8;

export class PeerWork {
  /** By instance of the peer. */
  private readonly peers = new Map<string, ReportedWork>();

  /** Sum over all peers, by backend server. */
  private readonly totals = new Map<string, { inProgress: number; promptTokens: number }>();

  /** Backend servers at which this entry's own work has changed since the last report. */
  private readonly changedServers = new Set<string>();

  /** Prefixes computed since the last report, by backend server. */
  private readonly computedPrefixes = new Map<string, Set<string>>();

  private reportedAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** Work of all peers at a backend server. */
  workAt(instance: string): ServerWork {
    return this.totals.get(instance) ?? NO_WORK;
  }

  markChanged(instance: string): void {
    this.changedServers.add(instance);
  }

  recordComputedPrefixes(instance: string, digests: readonly string[]): void {
    if (digests.length === 0) return;
    const recordedDigests = this.computedPrefixes.get(instance) ?? new Set();
    digests.forEach((digest) => recordedDigests.add(digest));
    this.computedPrefixes.set(instance, recordedDigests);
  }

  /** Returns and clears the pending changes, or returns undefined if none is due to be reported. */
  takeDueReport(
    entryCount: number,
    now: MonotonicMilliseconds,
    readOwnWork: (instance: string) => ServerWork,
  ): Pick<WorkReport, 'work' | 'computed'> | undefined {
    const reportInterval =
      MIN_REPORT_INTERVAL_MILLISECONDS * Math.max(1, entryCount / MAX_ENTRIES_AT_MIN_INTERVAL);
    if (this.changedServers.size === 0 && this.computedPrefixes.size === 0) return undefined;
    if (now - this.reportedAt < reportInterval) return undefined;
    this.reportedAt = now;
    const work = Object.fromEntries(
      [...this.changedServers].map((name) => [name, readOwnWork(name)]),
    );
    const computed = Object.fromEntries(
      [...this.computedPrefixes].map(([name, digests]) => [name, [...digests]]),
    );
    this.changedServers.clear();
    this.computedPrefixes.clear();
    return { work, computed };
  }

  applyReport({ instance, incarnation, work }: WorkReport): void {
    const lastReported = this.peers.get(instance);
    if (lastReported !== undefined && incarnation < lastReported.incarnation) return;
    if (lastReported !== undefined && incarnation > lastReported.incarnation)
      this.removePeer(instance);
    const reported = this.peers.get(instance) ?? {
      incarnation,
      work: new Map<string, ServerWork>(),
    };
    this.peers.set(instance, reported);
    Object.entries(work).forEach(([server, current]) => {
      this.updateTotal(server, current, reported.work.get(server));
      if (current.inProgress > 0) reported.work.set(server, current);
      else reported.work.delete(server);
    });
  }

  /**
   * Removes the work of a peer that is unreachable or was removed; its calls are assumed to have
   * ended.
   */
  removePeer(instance: string): void {
    this.peers
      .get(instance)
      ?.work.forEach((current, server) => this.updateTotal(server, NO_WORK, current));
    this.peers.delete(instance);
  }

  private updateTotal(server: string, current: ServerWork, previous: ServerWork = NO_WORK): void {
    const total = this.totals.get(server) ?? { inProgress: 0, promptTokens: 0 };
    total.inProgress += current.inProgress - previous.inProgress;
    total.promptTokens += current.promptTokens - previous.promptTokens;
    if (total.inProgress > 0) this.totals.set(server, total);
    else this.totals.delete(server);
  }
}
