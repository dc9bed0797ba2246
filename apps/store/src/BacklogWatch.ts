/**
 * Watches how much of what was pushed to subscribers still waits to be sent. A subscriber on a slow
 * link, or one that is short of processor time, gets everything late, and nothing else shows it: its
 * connection is busy all the time.
 */
import type { Logger, Metrics } from '@hornbeampond/runtime';
import type { PeerSession } from '@hornbeampond/transport';

/** From this backlog on a subscriber counts as behind. */
const BACKLOG_BYTES = 256 * 1024;

/** Below this the backlog has ended. */
const CAUGHT_UP_BYTES = 16 * 1024;

export class BacklogWatch {
  private readonly behind = new Set<PeerSession>();

  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** Called after each push with all sessions that it was sent to. */
  check(sessions: readonly PeerSession[]): void {
    let most = 0;
    sessions.forEach((session) => {
      const { bytesWaiting } = session;
      most = Math.max(most, bytesWaiting);
      const wasBehind = this.behind.has(session);
      if (!wasBehind && bytesWaiting > BACKLOG_BYTES) this.recordBehind(session);
      else if (wasBehind && bytesWaiting < CAUGHT_UP_BYTES) this.recordCaughtUp(session);
    });
    this.metrics.setGauge('subscriberBacklog', most);
  }

  remove(session: PeerSession): void {
    this.behind.delete(session);
  }

  private recordBehind(session: PeerSession): void {
    this.behind.add(session);
    this.logger.write('subscriberBehind', {
      peer: session.peer.instance,
      bytesWaiting: session.bytesWaiting,
    });
  }

  private recordCaughtUp(session: PeerSession): void {
    this.behind.delete(session);
    this.logger.write('subscriberCaughtUp', { peer: session.peer.instance });
  }
}
