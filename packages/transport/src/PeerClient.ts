/**
 * Keeps one framed connection to another process, and reconnects with jitter and backoff whenever
 * the connection is lost.
 */
import { createConnection } from 'node:net';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { Unsubscribe } from '@hornbeampond/runtime';
import type { PeerIdentity } from './peerMessages.js';
import { PeerConnection, type PeerContext } from './PeerConnection.js';

/** Failure of a request; `sent` states whether the peer may have received it. */
export class PeerRequestError extends Error {
  constructor(
    message: string,
    readonly sent: 'nothing' | 'maybe',
    readonly failure: 'noConnection' | 'connectionLost' | 'noAnswer',
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

const INITIAL_RECONNECT_DELAY_MILLISECONDS = 50;

/**
 * The delay does not grow during this time after a connection is lost: processes that lose power
 * together restart within about a second of each other, and callers wait until they reconnect.
 */
const FAST_RECONNECT_PERIOD_MILLISECONDS = 2000;
const MAX_RECONNECT_DELAY_MILLISECONDS = 2000;

/**
 * Calls back once the input that is there now has been read. A process that was busy for longer than a
 * timeout would otherwise give up a request whose answer has already arrived, and the more often the
 * busier it is.
 */
function afterPendingInput(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

export class PeerClient {
  private connection: PeerConnection | undefined;

  private reconnectDelayLimit = INITIAL_RECONNECT_DELAY_MILLISECONDS;

  private isRetrying = false;

  private retryingSince = 0;

  private cancelReconnect: Unsubscribe = () => {};

  private isClosed = false;

  /** True from the loss of a connection, or a failed attempt, to the next attempt. */
  private isWaitingToReconnect = false;

  private readonly connectionLostCallbacks = new Set<() => void>();

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

  /** When much was last read from the peer; before the first connection long ago. */
  get bulkReceivedAt(): MonotonicMilliseconds {
    return this.connection?.bulkReceivedAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Bytes read from the peer on the current connection. */
  get bytesReceived(): number {
    return this.connection?.bytesReceived ?? 0;
  }

  /** Sends a request and resolves with its response; rejects with `PeerRequestError`. */
  async request(body: unknown, timeout: Milliseconds): Promise<unknown> {
    return this.requestWith(
      (connection, onResponse) => connection.request(body, onResponse),
      timeout,
    );
  }

  /** As `request`, with a body that `encodeSharedBody` has encoded. */
  async requestEncoded(body: Buffer, timeout: Milliseconds): Promise<unknown> {
    return this.requestWith(
      (connection, onResponse) => connection.requestEncoded(body, onResponse),
      timeout,
    );
  }

  /** Sends a frame that needs no response, such as one of `encodeUnansweredRequest`. */
  sendFrame(frame: Buffer): void {
    if (this.isOpen) this.connection?.sendFrame(frame);
  }

  private async requestWith(
    send: (connection: PeerConnection, onResponse: (response: unknown) => void) => number,
    timeout: Milliseconds,
  ): Promise<unknown> {
    const { connection } = this;
    if (connection === undefined || !connection.isOpen) {
      throw new PeerRequestError('not connected', 'nothing', 'noConnection');
    }
    return new Promise((resolve, reject) => {
      let cleanUp: () => void = () => {};
      const id = send(connection, (response) => {
        cleanUp();
        resolve(response);
      });
      const fail = (reason: string, failure: PeerRequestError['failure']) => {
        cleanUp();
        connection.discardResponse(id);
        reject(new PeerRequestError(reason, 'maybe', failure));
      };
      const onConnectionLost = () => fail('the connection was lost', 'connectionLost');
      let hasEnded = false;
      const cancelTimeout = this.context.timers.after(timeout, () =>
        afterPendingInput(() => {
          if (!hasEnded) fail('no answer in time', 'noAnswer');
        }),
      );
      cleanUp = () => {
        hasEnded = true;
        cancelTimeout();
        this.connectionLostCallbacks.delete(onConnectionLost);
      };
      this.connectionLostCallbacks.add(onConnectionLost);
    });
  }

  /** Sends a one-way message; returns false if not connected. */
  push(body: unknown): boolean {
    if (!this.isOpen) return false;
    this.connection?.push(body);
    return true;
  }

  /** Reconnects immediately instead of waiting; for use when the peer is known to be reachable. */
  connectNow(): void {
    if (!this.isWaitingToReconnect || this.isClosed) return;
    this.cancelReconnect();
    this.connect();
  }

  close(): void {
    this.isClosed = true;
    this.cancelReconnect();
    this.connection?.close();
  }

  private connect(): void {
    this.isWaitingToReconnect = false;
    const socket = createConnection(this.address);
    const connection = new PeerConnection(socket, 'client', this.context, {
      onOpen: (peer) => {
        this.reconnectDelayLimit = INITIAL_RECONNECT_DELAY_MILLISECONDS;
        this.isRetrying = false;
        this.context.logger.write('peerConnected', { peer: peer.instance });
        this.handlers.onOpen?.(peer);
      },
      onRequest: () => {},
      onPush: (body) => this.handlers.onPush?.(body),
      onClose: () => this.handleClose(connection),
    });
    this.connection = connection;
    socket.once('connect', () => connection.startHandshake());
  }

  private handleClose(connection: PeerConnection): void {
    if (connection.peer !== undefined) {
      this.context.logger.write('peerDisconnected', { peer: connection.peer.instance });
    }
    [...this.connectionLostCallbacks].forEach((fail) => fail());
    this.handlers.onClose?.();
    if (this.isClosed) return;
    if (!this.isRetrying) this.retryingSince = this.context.timers.monotonicNow();
    this.isRetrying = true;
    // Full jitter keeps the clients of a restarted process from reconnecting simultaneously.
    const delay = Math.random() * this.reconnectDelayLimit;
    const retryingFor = this.context.timers.monotonicNow() - this.retryingSince;
    if (retryingFor > FAST_RECONNECT_PERIOD_MILLISECONDS) {
      this.reconnectDelayLimit = Math.min(
        this.reconnectDelayLimit * 2,
        MAX_RECONNECT_DELAY_MILLISECONDS,
      );
    }
    this.isWaitingToReconnect = true;
    this.cancelReconnect = this.context.timers.after(delay, () => {
      if (!this.isClosed) this.connect();
    });
  }
}
