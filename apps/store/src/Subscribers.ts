/**
 * The instances that follow the configuration at this store, and what each last said of itself.
 */
import type { EntryReport, InstanceReport, StorePush } from '@hornbeampond/schema';
import { encodeFrame, type PeerSession } from '@hornbeampond/transport';

export class Subscribers {
  private readonly sessions = new Set<PeerSession>();

  /** By session, so that a report goes with the connection that made it. */
  private readonly reportBySession = new Map<PeerSession, InstanceReport>();

  add(session: PeerSession, report: InstanceReport): void {
    this.sessions.add(session);
    this.reportBySession.set(session, report);
  }

  /** Notes a report; instances report to every store they are connected to. */
  recordReport(session: PeerSession, report: InstanceReport): void {
    this.reportBySession.set(session, report);
  }

  remove(session: PeerSession): void {
    this.sessions.delete(session);
    this.reportBySession.delete(session);
  }

  get reports(): InstanceReport[] {
    return [...this.reportBySession.values()].sort((a, b) => a.instance.localeCompare(b.instance));
  }

  /** Sends to all; the frame is made once, whatever their number. */
  push(push: StorePush): void {
    this.send(push, () => true);
  }

  /** Sends what only entries go by. */
  pushToEntries(push: StorePush): void {
    this.send(push, ({ role }) => role === 'entry');
  }

  /** Sends what entries have no use for. */
  pushToNonEntries(push: StorePush): void {
    this.send(push, ({ role }) => role !== 'entry');
  }

  /**
   * Hands on what an entry says of itself. What only the planner of the fleet and a store's memory go
   * by is most of it, and would reach each entry from each other one once a second.
   */
  pushReport(report: EntryReport): void {
    const { begun, demand, delays, windowSpent, windowReach, ...entryFields } = report;
    this.pushToEntries({ type: 'entryReport', report: entryFields });
    this.pushToNonEntries({ type: 'entryReport', report });
  }

  private send(push: StorePush, isRecipient: (report: InstanceReport) => boolean): void {
    const sessions = [...this.sessions].filter((session) => {
      const report = this.reportBySession.get(session);
      return report !== undefined && isRecipient(report);
    });
    if (sessions.length === 0) return;
    const frame = encodeFrame({ type: 'push', body: push });
    sessions.forEach((session) => session.pushEncoded(frame));
  }
}
