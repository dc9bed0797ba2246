/**
 * What the other entries have in progress at backend servers, as they tell it, and what this entry has
 * yet to tell them. Without it each entry knows of the others only what a backend server says with its
 * answers: seconds old at an entry with few callers, and nothing of prompts that wait there. Long
 * prompts of several entries then meet at one engine while others are idle.
 */
import type { MonotonicMilliseconds, ServerWork, WorkReport } from '@hornbeampond/schema';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

interface PeerShare {
  readonly incarnation: number;
  /** By backend server. */
  readonly work: Map<string, ServerWork>;
}

/** Changes that are told together are told at most so often by one of eight entries; by more, less. */
const TELLING_MILLISECONDS = 50;
const ENTRIES_AT_FULL_PACE = 8;

export class PeerWork {
  /** By the peer's instance. */
  private readonly peers = new Map<string, PeerShare>();

  /** The sum over all peers, by backend server. */
  private readonly sums = new Map<string, { inProgress: number; promptTokens: number }>();

  /** Backend servers at which this entry's own work has changed since it was told. */
  private readonly changed = new Set<string>();

  /** Prefixes that were computed since then, by backend server. */
  private readonly computed = new Map<string, Set<string>>();

  private toldAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** What all peers have at a backend server. */
  workAt(instance: string): ServerWork {
    return this.sums.get(instance) ?? NO_WORK;
  }

  markChanged(instance: string): void {
    this.changed.add(instance);
  }

  recordComputedPrefixes(instance: string, digests: readonly string[]): void {
    if (digests.length === 0) return;
    const known = this.computed.get(instance) ?? new Set();
    digests.forEach((digest) => known.add(digest));
    this.computed.set(instance, known);
  }

  /** What is to be told now, if anything is due. */
  takeDueReport(
    entries: number,
    now: MonotonicMilliseconds,
    readOwn: (instance: string) => ServerWork,
  ): Pick<WorkReport, 'work' | 'computed'> | undefined {
    const pace = TELLING_MILLISECONDS * Math.max(1, entries / ENTRIES_AT_FULL_PACE);
    if (this.changed.size === 0 && this.computed.size === 0) return undefined;
    if (now - this.toldAt < pace) return undefined;
    this.toldAt = now;
    const work = Object.fromEntries([...this.changed].map((name) => [name, readOwn(name)]));
    const computed = Object.fromEntries(
      [...this.computed].map(([name, digests]) => [name, [...digests]]),
    );
    this.changed.clear();
    this.computed.clear();
    return { work, computed };
  }

  receive({ instance, incarnation, work }: WorkReport): void {
    const known = this.peers.get(instance);
    if (known !== undefined && incarnation < known.incarnation) return;
    if (known !== undefined && incarnation > known.incarnation) this.removePeer(instance);
    const share = this.peers.get(instance) ?? { incarnation, work: new Map<string, ServerWork>() };
    this.peers.set(instance, share);
    Object.entries(work).forEach(([server, told]) => {
      this.add(server, told, share.work.get(server));
      if (told.inProgress > 0) share.work.set(server, told);
      else share.work.delete(server);
    });
  }

  /** Lets go of a peer that is silent or gone: its calls have been cut. */
  removePeer(instance: string): void {
    this.peers.get(instance)?.work.forEach((told, server) => this.add(server, NO_WORK, told));
    this.peers.delete(instance);
  }

  private add(server: string, told: ServerWork, before: ServerWork = NO_WORK): void {
    const sum = this.sums.get(server) ?? { inProgress: 0, promptTokens: 0 };
    sum.inProgress += told.inProgress - before.inProgress;
    sum.promptTokens += told.promptTokens - before.promptTokens;
    if (sum.inProgress > 0) this.sums.set(server, sum);
    else this.sums.delete(server);
  }
}
