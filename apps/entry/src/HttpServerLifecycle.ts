/** The life of an HTTP server that callers connect to: it ends without cutting an answer off. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TimerService } from '@hornbeampond/runtime';
import type { ListenAddress, Milliseconds } from '@hornbeampond/schema';

/** How often connections that have become idle are looked for while closing. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 10;

export class HttpServerLifecycle {
  constructor(
    private readonly server: Server,
    private readonly timers: TimerService,
  ) {}

  /** Starts to listen and returns the port. */
  async listen({ host, port }: ListenAddress): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Takes no new connections; those in use go on until their answers are given. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Waits until the last answers are written, and no longer than `patience`. */
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
