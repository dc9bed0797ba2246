/** What an entry asks of the server that its callers connect to, whatever they speak. */
import type { Milliseconds } from '@hornbeampond/schema';

export interface CallerListener {
  /** Starts to listen and returns the port. */
  listen(): Promise<number>;

  /** Takes the bounds of the configuration that has just come into force. */
  applyBounds?(): void;

  /** Asks callers to connect elsewhere next time, with each answer from now on. */
  disableKeepAlive?(): void;

  /** Takes no new connections; those in use go on until their answers are given. */
  stopListening(): void;

  /** Waits until the last answers are written, and no longer than `patience`. */
  close(timeout: Milliseconds): Promise<void>;
}
