/**
 * Tracks the subscribers of this store and the latest report of every connected instance, and sends
 * pushes to all subscribers, to entries only or to all but entries.
 */
import type { EntryReport, InstanceReport, StorePush } from '@hornbeampond/schema';
import { encodeFrame, type PeerSession } from '@hornbeampond/transport';

export class Subscribers {
  private readonly sessions = new Set<PeerSession>();

  /** By session, so that a report is removed together with the connection that sent it. */
  private readonly reportBySession = new Map<PeerSession, InstanceReport>();

  add(session: PeerSession, report: InstanceReport): void {
    this.sessions.add(session);
    this.reportBySession.set(session, report);
  }

  /** Records a report. Sessions that have not subscribed report too; nothing is pushed to them. */
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

  /** Sends a push to all subscribers. */
  push(push: StorePush): void {
    this.send(push, () => true);
  }

  /** Sends a push that only entries use. */
  pushToEntries(push: StorePush): void {
    this.send(push, ({ role }) => role === 'entry');
  }

  /** Sends a push that entries do not use. */
  pushToNonEntries(push: StorePush): void {
    this.send(push, ({ role }) => role !== 'entry');
  }

  /**
   * Sends an entry's report to all subscribers. Entries get it without the fields that only the fleet
   * planner and the persisted entry state use, which are the largest part of a report.
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
