/**
 * Starts and closes an HTTP server for callers. Closing lets open answers finish within a time
 * limit.
 */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TimerService } from '@hornbeampond/runtime';
import type { ListenAddress, Milliseconds } from '@hornbeampond/schema';

/** While closing, connections that have become idle are closed at this interval. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 10;

export class HttpServerLifecycle {
  constructor(
    private readonly server: Server,
    private readonly timers: TimerService,
  ) {}

  /** Starts to listen; returns the port. */
  async listen({ host, port }: ListenAddress): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops accepting connections and closes idle ones; open answers continue. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and waits for open answers; closes all connections after `timeout`. */
  async close(timeout: Milliseconds): Promise<void> {
    const closeIdleConnections = () => this.server.closeIdleConnections();
    const stopIdleChecks = this.timers.every(
      IDLE_CHECK_INTERVAL_MILLISECONDS,
      closeIdleConnections,
    );
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    closeIdleConnections();
    const cancelTimeout = this.timers.after(timeout, () => this.server.closeAllConnections());
    await closed;
    cancelTimeout();
    stopIdleChecks();
  }
}
