/**
 * All connections of callers to one HTTP server. They hold together no more memory and no more descriptors
 * than the process has for them: those that hold most, or have been idle for longest, make room.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  type CallerBounds,
  type CallerCloseReason,
  type Milliseconds,
} from '@hornbeampond/schema';
import { HeldMemory, type HeldBytes } from './HeldMemory.js';
import { HttpConnection } from './HttpConnection.js';
import { TrackedResponse } from './TrackedResponse.js';

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 1000;

export interface ConnectionLimits {
  /** Connections at the same time. */
  readonly connections: number;
  /** Memory that all connections together may take. */
  readonly held: HeldBytes;
}

export type TrackedListener = (request: IncomingMessage, response: TrackedResponse) => void;

export interface HttpConnectionsOptions {
  readonly timers: TimerService;
  readonly limits: ConnectionLimits;
  readBounds(): CallerBounds;
  onRefused(error: HornbeampondError): void;
  /** Called once for each connection that is closed without an answer. */
  onClosing(reason: CallerCloseReason): void;
  /** Called at intervals with the memory held by all connections. */
  onMeasured?(held: HeldBytes): void;
}

export class HttpConnections {
  readonly memory: HeldMemory;

  private readonly connections = new Map<Socket, HttpConnection>();

  private readonly stopChecks: Unsubscribe;

  constructor(private readonly options: HttpConnectionsOptions) {
    this.memory = new HeldMemory(options.limits.held);
    this.stopChecks = options.timers.every(CHECK_INTERVAL_MILLISECONDS, () =>
      // A process that was held up has input to read that came in time.
      setImmediate(() => setImmediate(() => this.check())),
    );
  }

  /** Makes a server whose connections are limited by this object. */
  createServer(serverOptions: ServerOptions, listener: TrackedListener): Server {
    const responseClass = TrackedResponse as unknown as typeof ServerResponse;
    const server = createServer(
      { ...serverOptions, ServerResponse: responseClass },
      (request, response) => listener(request, response as TrackedResponse),
    );
    // The lines of a head are limited by its bytes.
    server.maxHeadersCount = 0;
    // Counted here, since a head may wait for answers before it.
    server.headersTimeout = 0;
    server.on('connection', (socket) => this.accept(socket));
    server.on('clientError', ({ code }: NodeJS.ErrnoException, socket) => {
      const kind = code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'badRequest';
      const error = new HornbeampondError(kind, 'The request could not be read');
      this.connections.get(socket as Socket)?.refuse(error);
    });
    return server;
  }

  /** The connection of a request; undefined if it has been closed. */
  find(socket: Socket): HttpConnection | undefined {
    return this.connections.get(socket);
  }

  close(): void {
    this.stopChecks();
  }

  private accept(socket: Socket): void {
    const { timers, limits, readBounds, onRefused, onClosing } = this.options;
    const connection = new HttpConnection({
      socket,
      timers,
      memory: this.memory,
      readBounds,
      onRefused,
      onClosing,
    });
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    if (this.connections.size > limits.connections) this.closeLeastUseful(connection);
  }

  /** Closes the connection that has been idle for longest, or waits for the rest of a body; or else the new one. */
  private closeLeastUseful(newest: HttpConnection): void {
    const others = [...this.connections.values()].filter((one) => one !== newest);
    const idle = others.filter(({ isIdle }) => isIdle);
    const stopped = idle.length > 0 ? idle : others.filter(({ isReadingBody }) => isReadingBody);
    const oldest = stopped.reduce<HttpConnection | undefined>(
      (found, one) => (found === undefined || one.lastInputAt < found.lastInputAt ? one : found),
      undefined,
    );
    (oldest ?? newest).close('tooManyConnections');
  }

  private check(): void {
    const now = this.options.timers.monotonicNow();
    this.connections.forEach((connection) => connection.checkProgress(now));
    this.options.onMeasured?.(this.memory.total);
  }
}
