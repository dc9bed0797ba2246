/**
 * The instances that follow the configuration at this store, and what each last said of itself.
 */
import type { InstanceReport, StorePush } from '@hornbeampond/schema';
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
  note(session: PeerSession, report: InstanceReport): void {
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
    const frame = encodeFrame({ type: 'push', body: push });
    this.sessions.forEach((session) => session.pushEncoded(frame));
  }
}
