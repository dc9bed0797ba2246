/** The interface of the HTTP servers that callers connect to. */
import type { Milliseconds } from '@hornbeampond/schema';

export interface CallerListener {
  /** Starts to listen; returns the port. */
  listen(): Promise<number>;

  /**
   * Applies the time limits for callers (`callerBounds`) of the configuration that has just taken
   * effect.
   */
  applyBounds?(): void;

  /**
   * While disabled, `connection: close` is sent with the answers to new requests, so that callers
   * reconnect.
   */
  setKeepAlive?(isEnabled: boolean): void;

  /** Stops accepting connections; open answers continue. */
  stopListening(): void;

  /** Stops listening and waits for open answers; closes all connections after `timeout`. */
  close(timeout: Milliseconds): Promise<void>;
}
