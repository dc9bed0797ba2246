/** All connections of callers to one HTTP server. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { HornbeampondError } from '@hornbeampond/schema';
import { HttpConnection } from './HttpConnection.js';
import { TrackedResponse } from './TrackedResponse.js';

export type TrackedListener = (request: IncomingMessage, response: TrackedResponse) => void;

export interface HttpConnectionsOptions {
  onRefused(error: HornbeampondError): void;
}

export class HttpConnections {
  private readonly connections = new Map<Socket, HttpConnection>();

  constructor(private readonly options: HttpConnectionsOptions) {}

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

  private accept(socket: Socket): void {
    const { onRefused } = this.options;
    this.connections.set(socket, new HttpConnection({ socket, onRefused }));
    socket.once('close', () => this.connections.delete(socket));
  }
}
