/**
 * Where callers of opaque calls connect. It reads requests within the bounds of the configuration
 * in force and hands them to the reducer; everything after that is decided there.
 */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  toProblemDocument,
  type CallerBounds,
  type ListenAddress,
  type Milliseconds,
} from '@hornbeampond/schema';
import { readBody } from '@hornbeampond/transport';
import type { CallerExchange } from './CallerServer.js';
import { HttpServerLifecycle } from './HttpServerLifecycle.js';
import type { CallerListener } from './CallerListener.js';
import type { CallProtocol } from './CallProtocol.js';
import { RelayAnswer } from './RelayAnswer.js';

export interface RelayServerOptions {
  readonly listen: ListenAddress;
  readonly protocol: CallProtocol;
  readonly timers: TimerService;
  /** The bounds in force; undefined before a configuration names any. */
  readBounds(): CallerBounds | undefined;
  /** Names requests whose caller gave no name; unique for all time. */
  makeRequestId(): string;
  /** True if a request of this name is in progress. */
  isInProgress(requestId: string): boolean;
  onRequest(exchange: CallerExchange): void;
  onCallerDisconnect(requestId: string): void;
  /** Counts a refusal that the reducer does not see. */
  onRefused(error: unknown): void;
}

/** Largest head that is read at all; the configuration's bound, checked after, is lower. */
const MAX_HEAD_BYTES = 256 * 1024;

/** In force until a configuration says more. */
const DEFAULT_BOUNDS: CallerBounds = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerMilliseconds: 3000,
  idleMilliseconds: 15_000,
};

/** A caller may use an idle connection until its bound; closing it then would cross a request. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1000;

/** How often Node looks for heads that take too long. */
const HEAD_TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;

const statusLines = {
  badRequest: '400 Bad Request',
  headersTooLarge: '431 Request Header Fields Too Large',
} as const;

function countHeadBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  // Each line has a colon, a space and an end of two bytes.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}

export class RelayServer implements CallerListener {
  private readonly server: Server;

  private readonly lifecycle: HttpServerLifecycle;

  private isKeepAliveDisabled = false;

  constructor(private readonly options: RelayServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: HEAD_TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
      },
      (request, response) => {
        this.handleRequest(request, response).catch((error: unknown) =>
          this.refuseRequest(response, error),
        );
      },
    );
    this.lifecycle = new HttpServerLifecycle(this.server, options.timers);
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
      this.refuseUnparsedRequest(error, socket),
    );
    this.applyBounds();
  }

  /** Takes the bounds of the configuration in force. */
  applyBounds(): void {
    const { headerMilliseconds, idleMilliseconds } = this.bounds;
    this.server.headersTimeout = headerMilliseconds;
    this.server.keepAliveTimeout = idleMilliseconds + KEEP_ALIVE_MARGIN_MILLISECONDS;
  }

  async listen(): Promise<number> {
    return this.lifecycle.listen(this.options.listen);
  }

  /** Asks callers to connect elsewhere next time, with each answer from now on. */
  disableKeepAlive(): void {
    this.isKeepAliveDisabled = true;
  }

  stopListening(): void {
    this.isKeepAliveDisabled = true;
    this.lifecycle.stopListening();
  }

  async close(timeout: Milliseconds): Promise<void> {
    await this.lifecycle.close(timeout);
  }

  private get bounds(): CallerBounds {
    return this.options.readBounds() ?? DEFAULT_BOUNDS;
  }

  private refuseRequest(response: ServerResponse, error: unknown): void {
    this.options.onRefused(error);
    if (response.headersSent) {
      response.destroy();
      return;
    }
    // A body that was not read to its end would be taken for the next request.
    response.setHeader('connection', 'close');
    this.options.protocol.writeProblem(response, error);
  }

  /** Answers bytes that Node could not read as a request, so that there is no response object. */
  private refuseUnparsedRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    const kind = error.code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'badRequest';
    const problem = new HornbeampondError(kind, 'The request could not be read');
    this.options.onRefused(problem);
    if (!socket.writable) return;
    const body = JSON.stringify(toProblemDocument(problem));
    const length = Buffer.byteLength(body);
    const head = `HTTP/1.1 ${statusLines[kind]}\r\ncontent-length: ${length}\r\nconnection: close`;
    socket.end(`${head}\r\n\r\n${body}`);
  }

  private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { protocol, onRequest, onCallerDisconnect } = this.options;
    if (this.isKeepAliveDisabled) response.setHeader('connection', 'close');
    const { headerBytes, bodyBytes } = this.bounds;
    if (countHeadBytes(message) > headerBytes) {
      throw new HornbeampondError('headersTooLarge', `The head is above ${headerBytes} bytes`);
    }
    const call = protocol.parseCall(message);
    const body = await readBody(message, bodyBytes);
    // The caller may have left while its body was read.
    if (response.destroyed) return;
    const requestId = this.chooseRequestId(call.name);
    const answer = new RelayAnswer(requestId, response, protocol, call.resumeAfter);
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

  private chooseRequestId(name: string | undefined): string {
    const { isInProgress, makeRequestId } = this.options;
    return name === undefined || isInProgress(name) ? makeRequestId() : name;
  }
}
