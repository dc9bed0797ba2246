/**
 * Sends calls to one HTTP server over HTTP/1.1 and plain TCP, without pipelining, redirects or
 * retries. Apart from a limit on connecting, the caller's `AbortSignal` is the only timeout.
 *
 * Each call has an ID in `x-hornbeampond-call-id`. Connections are kept for further calls only while the
 * server's answers return this header; see `answerProof.ts`. A kept-alive connection may be closed by the
 * server just as a call is written to it, so a failure does not show whether the call ran.
 * `sendOnNewConnection` opens a connection for one call, which provably did not run if no byte was
 * written to the socket.
 */
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import type { NamedCall, NotRunProof } from '@hornbeampond/schema';
import { buildConnector, Pool, type Dispatcher } from 'undici';
import {
  connectWithCallback,
  isDirectConnection,
  type ServerConnector,
  type ServerEndpoint,
} from '../ServerConnector.js';
import { isProven, type AnswerProof } from '../answerProof.js';
import { BackendServerFailure, type BackendServerFailureKind } from '../BackendServerFailure.js';
import { isChunked } from '../isChunked.js';
import { isFinalStatus } from '../isFinalStatus.js';
import { CallConnection, ConnectionClient, isClosedByServer } from './CallConnections.js';

/** Idle connections are closed early, since an old one is more likely to be dead. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 4000;

/** Without this limit, each call to a partitioned data centre would hold a socket for minutes. */
const CONNECT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Limit on receiving the rest of a body whose reader stopped after `markComplete`; then the
 * connection is dropped.
 */
const DRAIN_TIMEOUT_MILLISECONDS = 1000;

/** Request header with the ID of the call, which the answer returns. */
export const CALL_ID_HEADER = 'x-hornbeampond-call-id';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

const noTimeouts = { headersTimeout: 0, bodyTimeout: 0 } as const;

/** Error of the connector; it proves that the call had no connection to be written to. */
class ConnectError extends Error {
  readonly code = 'CONNECT_FAILED';
}

export interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string | string[]>;
  readonly body?: Uint8Array | string;
  readonly signal: AbortSignal;
}

/** A call as it is sent. */
interface SentCall extends HttpCall {
  readonly proof: AnswerProof;
  /** True if its connection is closed after the answer. */
  readonly reset?: boolean;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /**
   * Can be read once; throws `BackendServerFailure`. Ending the iteration early drops the
   * connection, unless `markComplete` was called.
   */
  readonly body: AsyncIterable<Uint8Array>;
  /**
   * Call this when the content shows that the answer is complete (for example a final event),
   * although the body has not ended. If the reader then stops, a pooled connection is reused once
   * the rest of the body has been received.
   */
  markComplete(): void;
}

function describeError(error: unknown): string {
  if (error instanceof AggregateError && error.message === '') {
    return error.errors.map(describeError).join('; ');
  }
  return error instanceof Error ? error.message : String(error);
}

/**
 * True for wrong bytes. `undici` has the same error for a connection that ends inside an answer after which it
 * would have been closed, but then without bytes.
 */
function isParserError(error: Error): boolean {
  return error.name === 'HTTPParserError' && (error as { readonly data?: string }).data !== '';
}

function classifyError(error: unknown): BackendServerFailureKind {
  if (!(error instanceof Error)) return 'connectionLost';
  const code = 'code' in error ? error.code : undefined;
  if (code === 'UND_ERR_INVALID_ARG') return 'clientError';
  const isMalformed = isParserError(error) || code === 'UND_ERR_HEADERS_OVERFLOW';
  return isMalformed ? 'malformed' : 'connectionLost';
}

function toFailure(cause: unknown, signal: AbortSignal, proof?: NotRunProof): BackendServerFailure {
  if (cause instanceof BackendServerFailure) return cause;
  const message = describeError(cause);
  if (cause instanceof ConnectError) {
    const options = { failure: 'connectFailed', proof: 'notConnected' } as const;
    return new BackendServerFailure(message, { ...options, cause });
  }
  const proven = proof === undefined ? {} : { proof };
  if (signal.aborted) {
    const options = { failure: 'silent', ...proven, cause } as const;
    return new BackendServerFailure('the caller aborted the call', options);
  }
  return new BackendServerFailure(message, { failure: classifyError(cause), ...proven, cause });
}

type ResponseBody = Dispatcher.ResponseData['body'];

/** True if the end of the body can be detected while the connection stays open. */
function isFramed(method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean {
  const isBodyless = method === 'HEAD' || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;
  const encoding = [headers['transfer-encoding'] ?? ''].flat().join(',');
  return isBodyless || headers['content-length'] !== undefined || isChunked(encoding);
}

interface BodyOptions {
  readonly signal: AbortSignal;
  /** Asked at the end of the body. */
  isWhole(): boolean;
  /** Called if the reader stops or fails before the end of the body. */
  onUnfinished(): void;
}

async function* readBody(
  body: ResponseBody,
  { signal, isWhole, onUnfinished }: BodyOptions,
): AsyncGenerator<Uint8Array> {
  try {
    for await (const bytes of body.iterator({ destroyOnReturn: false })) yield bytes as Uint8Array;
    if (!isWhole()) throw new BackendServerFailure('the response body may be incomplete');
  } catch (error) {
    throw toFailure(error, signal);
  } finally {
    if (!body.readableEnded) onUnfinished();
  }
}

/** Discards the rest of a body, so that its connection can be used again. */
function drain(body: ResponseBody): void {
  const signal = AbortSignal.timeout(DRAIN_TIMEOUT_MILLISECONDS);
  body.dump({ limit: Infinity, signal }).catch(() => {});
}

function findNamedCall(callId: string, { headers }: Dispatcher.ResponseData): NamedCall {
  const named = headers[CALL_ID_HEADER];
  if (named === undefined) return 'noCall';
  return named === callId ? 'thisCall' : 'anotherCall';
}

/** @param isClosedNormally - True once the server has closed the connection of the answer and not reset it. */
function makeAnswer(
  data: Dispatcher.ResponseData,
  { method, signal }: HttpCall,
  isClosedNormally: () => boolean,
): HttpAnswer {
  const { statusCode: status, body } = data;
  const headers = { ...data.headers, [CALL_ID_HEADER]: undefined };
  if (!isFinalStatus(status)) {
    body.destroy();
    throw new BackendServerFailure(`there is no status ${status}`, { failure: 'malformed' });
  }
  let isComplete = false;
  const onUnfinished = () => {
    if (isComplete) drain(body);
    else body.destroy();
  };
  const markComplete = () => {
    isComplete = true;
  };
  const isWhole = () => isFramed(method, data) || isClosedNormally();
  const options = { signal, isWhole, onUnfinished };
  return { status, headers, body: readBody(body, options), markComplete };
}

/** How the connections to a backend server are opened. */
export interface ConnectionPath {
  readonly connector: ServerConnector;
  readonly server: ServerEndpoint;
}

type Connect = buildConnector.connector;

function makeBaseConnector(path: ConnectionPath | undefined): Connect {
  const timeout = CONNECT_TIMEOUT_MILLISECONDS;
  if (path === undefined) return buildConnector({ timeout, keepAlive: true });
  const { connector, server } = path;
  return (_options, callback) =>
    connectWithCallback(
      connector,
      server,
      (error, socket) => {
        if (socket === null) callback(error ?? new Error('no connection'), null);
        else callback(null, socket);
      },
      AbortSignal.timeout(timeout),
    );
}

/** Wraps a connector; `onSocket` gets each socket before anything is written to it. */
function makeConnector(connect: Connect, onSocket: (socket: Socket) => void): Connect {
  return (options, callback) => {
    connect(options, (...outcome) => {
      const [error, socket] = outcome;
      if (error !== null) {
        callback(new ConnectError(describeError(error), { cause: error }), null);
        return;
      }
      onSocket(socket);
      callback(null, socket);
    });
  };
}

/** Makes a connector that connects only once, so that the client cannot resend the call. */
function makeSingleUseConnector(base: Connect, onSocket: (socket: Socket) => void): Connect {
  const connect = makeConnector(base, onSocket);
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(new Error('this call has already used its only connection'), null);
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
}

/** Formats an HTTP origin, with brackets around an IPv6 address. */
export function formatOrigin(host: string, port: number): string {
  return `http://${host.includes(':') ? `[${host}]` : host}:${port}`;
}

export class HttpConnections {
  private pool: Pool;

  private readonly singleCallClients = new Set<ConnectionClient>();

  /** Pools that `renew` has replaced, until the last call on them has ended. */
  private readonly replacedPools = new Set<Pool>();

  private readonly connect: Connect;

  /** True if the last answer named its call. */
  private namesCalls = false;

  /**
   * @param origin - For example `http://127.0.0.1:8080`.
   * @param path - Without it, connections are opened to the origin itself.
   */
  constructor(
    private readonly origin: string,
    private readonly path?: ConnectionPath,
  ) {
    this.connect = makeBaseConnector(path);
    this.pool = this.openPool();
  }

  /**
   * Sends a call on a kept-alive connection if one is free and the server names the calls that it answers.
   * The call must be safe to repeat, since a failure does not show whether it ran.
   */
  async send(call: HttpCall): Promise<HttpAnswer> {
    if (!this.namesCalls) return this.sendOnNewConnection(call);
    try {
      call.signal.throwIfAborted();
    } catch (error) {
      throw toFailure(error, call.signal, 'nothingWritten');
    }
    try {
      return await this.request(this.pool, { ...call, proof: 'namesCall' });
    } catch (error) {
      throw toFailure(error, call.signal);
    }
  }

  /** Sends a call at most once, on a connection opened for it alone. */
  async sendOnNewConnection(call: HttpCall): Promise<HttpAnswer> {
    let socket: Socket | undefined;
    const connect = makeSingleUseConnector(this.connect, (opened) => {
      socket = opened;
    });
    const client = new ConnectionClient(this.origin, { ...noTimeouts, pipelining: 1, connect });
    this.singleCallClients.add(client);
    try {
      call.signal.throwIfAborted();
      const sent = { ...call, proof: 'onlyCall', reset: true } as const;
      return await this.request(client, sent, () => {
        this.singleCallClients.delete(client);
        void client.destroy();
      });
    } catch (error) {
      this.singleCallClients.delete(client);
      await client.destroy();
      // Destroyed before `bytesWritten` is read, so that nothing is written afterwards. The socket counts
      // all that was written to it, so 0 proves that the call cannot have run.
      socket?.destroy();
      const isUnwritten = socket === undefined || socket.bytesWritten === 0;
      throw toFailure(error, call.signal, isUnwritten ? 'nothingWritten' : undefined);
    }
  }

  /** Makes later calls open new connections; running calls finish on their current ones. */
  renew(): void {
    const previousPool = this.pool;
    this.pool = this.openPool();
    this.replacedPools.add(previousPool);
    void previousPool.close().then(() => this.replacedPools.delete(previousPool));
  }

  /** Closes all connections immediately; their calls fail with `connectionLost`. */
  async close(): Promise<void> {
    const dispatchers = [this.pool, ...this.replacedPools, ...this.singleCallClients];
    this.singleCallClients.clear();
    await Promise.all(dispatchers.map(async (dispatcher) => dispatcher.destroy()));
  }

  private async request(
    dispatcher: Dispatcher,
    { proof, ...call }: SentCall,
    onBodyClosed?: () => void,
  ): Promise<HttpAnswer> {
    const connection = new CallConnection();
    const callId = randomUUID();
    const headers = { ...call.headers, [CALL_ID_HEADER]: callId };
    const options = { ...call, headers, connection };
    const data = await dispatcher.request(options);
    // Without a listener, an error before the body is read would end the process. The reader still
    // receives the error.
    data.body.on('error', () => {});
    const namedCall = findNamedCall(callId, data);
    this.namesCalls = namedCall === 'thisCall';
    if (!isProven(proof, namedCall)) {
      data.body.destroy();
      throw new BackendServerFailure('the answer may belong to another call', {
        failure: 'malformed',
      });
    }
    // Now, because the client may open another connection before the body is read.
    const { socket } = connection;
    if (onBodyClosed !== undefined) data.body.once('close', onBodyClosed);
    return makeAnswer(data, call, () => socket !== undefined && this.isClosedNormally(socket));
  }

  /** Never true for a tunnel, whose other end is closed also if its process is killed. */
  private isClosedNormally(socket: Socket): boolean {
    return isClosedByServer(socket) && (this.path === undefined || isDirectConnection(socket));
  }

  private openPool(): Pool {
    return new Pool(this.origin, {
      ...noTimeouts,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      factory: (origin, options) =>
        new ConnectionClient(origin, {
          ...options,
          connect: makeConnector(this.connect, () => {}),
        }),
    });
  }
}
