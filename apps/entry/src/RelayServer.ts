/**
 * The HTTP server for opaque calls. It reads requests, enforces the size and time limits for callers
 * (`callerBounds`) of the current configuration and passes the requests to `onRequest`. Requests that
 * exceed the limits or are malformed are refused here; all further decisions are the reducer's.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { TimerService } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  type CallerBounds,
  type CallerCloseReason,
  type ListenAddress,
  type Milliseconds,
} from '@hornbeampond/schema';
import { HttpConnections, type HeldBytes, type TrackedResponse } from '@hornbeampond/transport';
import type { CallerConnectionLimits } from './chooseConnectionLimits.js';
import type { CallerExchange } from './CallerServer.js';
import { HeldBodies } from './HeldBodies.js';
import { HttpServerLifecycle } from './HttpServerLifecycle.js';
import type { CallerListener } from './CallerListener.js';
import type { CallProtocol } from './CallProtocol.js';
import { RelayAnswer } from './RelayAnswer.js';

export interface RelayServerOptions {
  readonly listen: ListenAddress;
  readonly protocol: CallProtocol;
  readonly timers: TimerService;
  /** The configured limits for callers; undefined if the configuration has none. */
  readBounds(): CallerBounds | undefined;
  /** Returns a globally unique id, for requests without an id that can be used. */
  makeRequestId(): string;
  /** True if a request with this id is in progress. */
  isInProgress(requestId: string): boolean;
  readonly limits: CallerConnectionLimits;
  /** Called with each connection that is accepted. */
  onConnection(): void;
  onRequest(exchange: CallerExchange): void;
  onCallerDisconnect(requestId: string): void;
  /** Called for requests that are refused before they reach the reducer. */
  onRefused(error: unknown): void;
  /** Called once for each connection that is closed without an answer. */
  onClosing(reason: CallerCloseReason): void;
  /** Called at intervals with the memory that all connections take. */
  onMeasured(held: HeldBytes): void;
}

/** Limit for Node's parser; what has come of a head is limited by the configured `headerBytes` before. */
const MAX_HEAD_BYTES = 256 * 1024;

/** Used if the configuration has no `callerBounds`. */
const DEFAULT_BOUNDS: CallerBounds = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerMilliseconds: 3000,
  idleMilliseconds: 15_000,
};

/** Added to `idleMilliseconds`, so that a connection is not closed just as the caller reuses it. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1000;

/** A colon between name and value, and CRLF; spaces are not required. */
const BYTES_BESIDE_HEADER = 3;

/** Least size of the URL and the header lines as they may have been sent. */
function countHeadBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
  return textBytes + (rawHeaders.length / 2) * BYTES_BESIDE_HEADER;
}

export class RelayServer implements CallerListener {
  private readonly server: Server;

  private readonly lifecycle: HttpServerLifecycle;

  private readonly heldBodies: HeldBodies;

  private readonly connections: HttpConnections;

  private isKeepAliveDisabled = false;

  constructor(private readonly options: RelayServerOptions) {
    const { limits, timers, onRefused, onClosing, onMeasured } = options;
    this.heldBodies = new HeldBodies(limits.bodyBytes);
    this.connections = new HttpConnections({
      timers,
      limits,
      readBounds: () => this.bounds,
      onRefused,
      onClosing,
      onMeasured,
    });
    this.server = this.connections.createServer(
      { maxHeaderSize: MAX_HEAD_BYTES },
      (request, response) => {
        this.handleRequest(request, response).catch((error: unknown) =>
          this.refuseRequest(response, error),
        );
      },
    );
    this.lifecycle = new HttpServerLifecycle(this.server, options.timers);
    this.server.on('connection', () => options.onConnection());
    this.server.requestTimeout = 0;
    this.applyBounds();
  }

  applyBounds(): void {
    const { idleMilliseconds } = this.bounds;
    this.server.keepAliveTimeout = idleMilliseconds + KEEP_ALIVE_MARGIN_MILLISECONDS;
  }

  async listen(): Promise<number> {
    return this.lifecycle.listen(this.options.listen);
  }

  setKeepAlive(isEnabled: boolean): void {
    this.isKeepAliveDisabled = !isEnabled;
  }

  stopListening(): void {
    this.isKeepAliveDisabled = true;
    this.lifecycle.stopListening();
  }

  async close(timeout: Milliseconds): Promise<void> {
    await this.lifecycle.close(timeout);
    this.connections.close();
  }

  private get bounds(): CallerBounds {
    return this.options.readBounds() ?? DEFAULT_BOUNDS;
  }

  private refuseRequest(response: ServerResponse, error: unknown): void {
    // The caller has left, or was refused, while its body was read.
    if (response.destroyed) return;
    this.options.onRefused(error);
    if (response.headersSent) {
      response.destroy();
      return;
    }
    // The unread rest of a body would be parsed as the next request on the connection.
    response.setHeader('connection', 'close');
    this.options.protocol.writeProblem(response, error);
  }

  private async handleRequest(message: IncomingMessage, response: TrackedResponse): Promise<void> {
    const { protocol, onRequest, onCallerDisconnect } = this.options;
    if (this.isKeepAliveDisabled) response.setHeader('connection', 'close');
    if (response.refusal !== undefined) throw response.refusal;
    const { headerBytes, bodyBytes } = this.bounds;
    if (countHeadBytes(message) > headerBytes) {
      throw new HornbeampondError(
        'headersTooLarge',
        `The request head is larger than ${headerBytes} bytes`,
      );
    }
    const call = protocol.parseCall(message);
    const connection = this.connections.find(message.socket);
    const body = await this.heldBodies.read(message, response, bodyBytes, connection);
    // The caller may have disconnected while its body was read.
    if (response.destroyed) return;
    const requestId = this.chooseRequestId(call.name);
    const { resumption } = call.requestFields;
    const answer = new RelayAnswer(requestId, response, protocol, resumption?.afterEvent);
    const { method = 'GET', url: path = '/' } = message;
    const digest = createHash('sha256')
      .update(`${method}\n${path}\n${call.requestFields.keySha256 ?? ''}\n`)
      .update(body)
      .digest('hex');
    const request = { requestId, workspace: '', method, path, digest, ...call.requestFields };
    response.on('close', () => {
      if (!response.writableEnded) onCallerDisconnect(requestId);
    });
    const { headers } = message;
    onRequest({
      request,
      headers,
      forwardedHeaders: call.forwardedHeaders,
      body,
      completion: undefined,
      answer,
    });
  }

  /** Returns the caller's id for the request, or a new id if that is missing or in use. */
  private chooseRequestId(name: string | undefined): string {
    const { isInProgress, makeRequestId } = this.options;
    return name === undefined || isInProgress(name) ? makeRequestId() : name;
  }
}
