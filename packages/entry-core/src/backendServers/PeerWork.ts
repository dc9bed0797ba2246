/**
 * What the other entries have in progress at backend servers, as they tell it, and what this entry has
 * yet to tell them. Without it each entry knows of the others only what a backend server says with its
 * answers: seconds old at an entry with few callers, and nothing of prompts that wait there. Long
 * prompts of several entries then meet at one engine while others are idle.
 */
import type { MonotonicMilliseconds, ServerWork, WorkReport } from '@hornbeampond/schema';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

interface ReportedWork {
  readonly incarnation: number;
  /** By backend server. */
  readonly work: Map<string, ServerWork>;
}

/** Changes that are told together are told at most so often by one of eight entries; by more, less. */
const MIN_REPORT_INTERVAL_MILLISECONDS = 50;
const MAX_ENTRIES_AT_MIN_INTERVAL = 8;

export class PeerWork {
  /** By the peer's instance. */
  private readonly peers = new Map<string, ReportedWork>();

  /** The sum over all peers, by backend server. */
  private readonly totals = new Map<string, { inProgress: number; promptTokens: number }>();

  /** Backend servers at which this entry's own work has changed since it was told. */
  private readonly changedServers = new Set<string>();

  /** Prefixes that were computed since then, by backend server. */
  private readonly computedPrefixes = new Map<string, Set<string>>();

  private reportedAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** What all peers have at a backend server. */
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

  /** What is to be told now, if anything is due. */
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

  /** Lets go of a peer that is silent or gone: its calls have been cut. */
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
