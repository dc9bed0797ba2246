/**
 * Tracks the requests that other entries have reported in progress at backend servers, and collects
 * the changes of this entry's own work for its next report. Load reports of backend servers alone
 * are too old, and do not tell how many prompt tokens are still to be prefilled: several entries
 * would send long prompts to one server while other servers are idle.
 */
import type { MonotonicMilliseconds, ServerWork, WorkReport } from '@hornbeampond/schema';

const NO_WORK: ServerWork = { inProgress: 0, promptTokens: 0 };

interface PeerWorkState {
  readonly incarnation: number;
  /** Keyed by backend server. */
  readonly work: Map<string, ServerWork>;
}

const MIN_REPORT_INTERVAL_MILLISECONDS = 50;
/**
 * With more entries the interval grows in proportion, so that the messages that each entry sends
 * per second stay bounded.
 */
const MAX_ENTRIES_AT_MIN_INTERVAL = 8;

export class WorkReports {
  /** Keyed by the instance name of the peer. */
  private readonly peers = new Map<string, PeerWorkState>();

  /** Sum over all peers, keyed by backend server. */
  private readonly totals = new Map<string, { inProgress: number; promptTokens: number }>();

  /** Backend servers at which this entry's own work has changed since the last report. */
  private readonly changedServers = new Set<string>();

  /**
   * Digests of the prefixes that backend servers have prefilled for this entry since its last
   * report, keyed by backend server.
   */
  private readonly prefilledPrefixes = new Map<string, Set<string>>();

  private lastSentAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** Work of all peers at a backend server. */
  peerWorkAt(backendServer: string): ServerWork {
    return this.totals.get(backendServer) ?? NO_WORK;
  }

  /** Marks this entry's own work at a backend server as changed since the last report. */
  markOwnWorkChanged(backendServer: string): void {
    this.changedServers.add(backendServer);
  }

  recordPrefilledPrefixes(backendServer: string, digests: readonly string[]): void {
    if (digests.length === 0) return;
    const digestsOfServer = this.prefilledPrefixes.get(backendServer) ?? new Set();
    digests.forEach((digest) => digestsOfServer.add(digest));
    this.prefilledPrefixes.set(backendServer, digestsOfServer);
  }

  /** Returns and clears the pending changes, or returns undefined if none is due to be reported. */
  takeDueReport(
    entryCount: number,
    now: MonotonicMilliseconds,
    readOwnWork: (backendServer: string) => ServerWork,
  ): Pick<WorkReport, 'work' | 'computed'> | undefined {
    const reportInterval =
      MIN_REPORT_INTERVAL_MILLISECONDS * Math.max(1, entryCount / MAX_ENTRIES_AT_MIN_INTERVAL);
    if (this.changedServers.size === 0 && this.prefilledPrefixes.size === 0) return undefined;
    if (now - this.lastSentAt < reportInterval) return undefined;
    this.lastSentAt = now;
    const work = Object.fromEntries(
      [...this.changedServers].map((backendServer) => [backendServer, readOwnWork(backendServer)]),
    );
    const computed = Object.fromEntries(
      [...this.prefilledPrefixes].map(([backendServer, digests]) => [backendServer, [...digests]]),
    );
    this.changedServers.clear();
    this.prefilledPrefixes.clear();
    return { work, computed };
  }

  /**
   * Merges a report, which lists only the servers whose work has changed. Reports of an earlier
   * process of the peer are ignored; a later incarnation means that the peer has restarted and its
   * earlier work is gone.
   */
  applyReport({ instance: peer, incarnation, work }: WorkReport): void {
    const previousState = this.peers.get(peer);
    if (previousState !== undefined && incarnation < previousState.incarnation) return;
    if (previousState !== undefined && incarnation > previousState.incarnation)
      this.removePeerWork(peer);
    const peerState = this.peers.get(peer) ?? {
      incarnation,
      work: new Map<string, ServerWork>(),
    };
    this.peers.set(peer, peerState);
    Object.entries(work).forEach(([backendServer, current]) => {
      this.updateTotal(backendServer, current, peerState.work.get(backendServer));
      if (current.inProgress > 0) peerState.work.set(backendServer, current);
      else peerState.work.delete(backendServer);
    });
  }

  /**
   * Removes the work of a peer that is unreachable or has restarted; its requests are assumed to
   * have ended.
   */
  removePeerWork(peer: string): void {
    this.peers
      .get(peer)
      ?.work.forEach((current, backendServer) => this.updateTotal(backendServer, NO_WORK, current));
    this.peers.delete(peer);
  }

  private updateTotal(
    backendServer: string,
    current: ServerWork,
    previous: ServerWork = NO_WORK,
  ): void {
    const total = this.totals.get(backendServer) ?? { inProgress: 0, promptTokens: 0 };
    total.inProgress += current.inProgress - previous.inProgress;
    total.promptTokens += current.promptTokens - previous.promptTokens;
    if (total.inProgress > 0) this.totals.set(backendServer, total);
    else this.totals.delete(backendServer);
  }
}
