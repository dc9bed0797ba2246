/**
 * Keeps one framed connection to another process and opens a new one, after a growing and
 * jittered pause, whenever it is lost.
 */
import { createConnection } from 'node:net';
import type { Milliseconds } from '@hornbeampond/schema';
import type { Unsubscribe } from '@hornbeampond/runtime';
import type { PeerIdentity } from './peerMessages.js';
import { PeerConnection, type PeerContext } from './PeerConnection.js';

/** Thrown by requests; `sent` tells whether the peer can have seen the request. */
export class PeerRequestError extends Error {
  constructor(
    message: string,
    readonly sent: 'nothing' | 'maybe',
  ) {
    super(message);
  }
}

export interface PeerClientHandlers {
  onOpen?(peer: PeerIdentity): void;
  onPush?(body: unknown): void;
  onClose?(): void;
}

export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

const FIRST_PAUSE_MILLISECONDS = 50;

/**
 * For so long after a connection was lost the pauses do not grow: processes that lose power together are
 * back within a second of each other, and callers wait for those that find the others late.
 */
const SOON_BACK_MILLISECONDS = 2000;
const LONGEST_PAUSE_MILLISECONDS = 2000;

export class PeerClient {
  private connection: PeerConnection | undefined;

  private pause = FIRST_PAUSE_MILLISECONDS;

  private isLost = false;

  private lostAt = 0;

  private cancelReconnect: Unsubscribe = () => {};

  private stopped = false;

  /** True between a lost connection and the next try. */
  private waiting = false;

  private readonly failures = new Set<() => void>();

  constructor(
    readonly address: PeerAddress,
    private readonly context: PeerContext,
    private readonly handlers: PeerClientHandlers = {},
  ) {
    this.connect();
  }

  get isOpen(): boolean {
    return this.connection?.isOpen ?? false;
  }

  /** Sends a request and resolves with its response; rejects with `PeerRequestError`. */
  async request(body: unknown, timeout: Milliseconds): Promise<unknown> {
    const { connection } = this;
    if (connection === undefined || !connection.isOpen) {
      throw new PeerRequestError('not connected', 'nothing');
    }
    return new Promise((resolve, reject) => {
      let settle: () => void = () => {};
      const id = connection.request(body, (response) => {
        settle();
        resolve(response);
      });
      const fail = (reason: string) => {
        settle();
        connection.discardResponse(id);
        reject(new PeerRequestError(reason, 'maybe'));
      };
      const lost = () => fail('the connection was lost');
      const cancelTimeout = this.context.timers.after(timeout, () => fail('no answer in time'));
      settle = () => {
        cancelTimeout();
        this.failures.delete(lost);
      };
      this.failures.add(lost);
    });
  }

  /** Sends a one-way message if connected; says whether it was handed to the connection. */
  push(body: unknown): boolean {
    if (!this.isOpen) return false;
    this.connection?.push(body);
    return true;
  }

  /** Connects at once if it waits to; for when the peer has shown in another way that it is back. */
  connectNow(): void {
    if (!this.waiting || this.stopped) return;
    this.cancelReconnect();
    this.connect();
  }

  close(): void {
    this.stopped = true;
    this.cancelReconnect();
    this.connection?.close();
  }

  private connect(): void {
    this.waiting = false;
    const socket = createConnection(this.address);
    const connection = new PeerConnection(socket, 'client', this.context, {
      onOpen: (peer) => {
        this.pause = FIRST_PAUSE_MILLISECONDS;
        this.isLost = false;
        this.context.logger.write('peerConnected', { peer: peer.instance });
        this.handlers.onOpen?.(peer);
      },
      onRequest: () => {},
      onPush: (body) => this.handlers.onPush?.(body),
      onClose: () => this.lose(connection),
    });
    this.connection = connection;
    socket.once('connect', () => connection.startHandshake());
  }

  private lose(connection: PeerConnection): void {
    if (connection.peer !== undefined) {
      this.context.logger.write('peerDisconnected', { peer: connection.peer.instance });
    }
    [...this.failures].forEach((fail) => fail());
    this.handlers.onClose?.();
    if (this.stopped) return;
    if (!this.isLost) this.lostAt = this.context.timers.monotonicNow();
    this.isLost = true;
    // Full jitter keeps the clients of a restarted process from coming back all at once.
    const delay = Math.random() * this.pause;
    const lostFor = this.context.timers.monotonicNow() - this.lostAt;
    if (lostFor > SOON_BACK_MILLISECONDS) {
      this.pause = Math.min(this.pause * 2, LONGEST_PAUSE_MILLISECONDS);
    }
    this.waiting = true;
    this.cancelReconnect = this.context.timers.after(delay, () => {
      if (!this.stopped) this.connect();
    });
  }
}
