/**
 * All connections of callers to one HTTP server. They hold together no more memory than the process has for
 * them: those that hold most make room.
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

const MEASURE_INTERVAL_MILLISECONDS: Milliseconds = 1000;

export interface ConnectionLimits {
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

  private readonly stopMeasuring: Unsubscribe;

  constructor(private readonly options: HttpConnectionsOptions) {
    this.memory = new HeldMemory(options.limits.held);
    this.stopMeasuring = options.timers.every(MEASURE_INTERVAL_MILLISECONDS, () => this.measure());
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
    this.stopMeasuring();
  }

  private accept(socket: Socket): void {
    const { readBounds, onRefused, onClosing } = this.options;
    const { memory } = this;
    const options = { socket, memory, readBounds, onRefused, onClosing };
    this.connections.set(socket, new HttpConnection(options));
    socket.once('close', () => this.connections.delete(socket));
  }

  private measure(): void {
    this.connections.forEach((connection) => connection.onWritten());
    this.options.onMeasured?.(this.memory.total);
  }
}
