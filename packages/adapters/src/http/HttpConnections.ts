/**
 * The connections to one HTTP server, and the one place where a call goes out.
 *
 * What is assumed of the wire: HTTP/1.1 over plain TCP, by IP number. There is no pipelining, no
 * redirect is followed, and nothing is sent again by itself. The caller's `AbortSignal` is the only
 * timeout, but for one on connecting, which bounds the attempts that nobody waits for any more.
 *
 * A kept-alive connection can be dead without a sign (its server went away, or something between
 * the two ends lost track of it). A call on it then fails with bytes written and an unknown
 * outcome. `sendFresh` therefore opens a connection for one call alone. The socket counts what
 * was written to it, so after a failure `bytesWritten === 0` proves that the call cannot have
 * run: the socket is destroyed before the count is read, and the client may not connect again.
 */
import type { Socket } from 'node:net';
import { buildConnector, Client, Pool, type Dispatcher } from 'undici';
import {
  BackendServerFailure,
  type BackendServerFailureKind,
  type SentState,
} from '../BackendServerFailure.js';

/** Idle connections are closed this soon, since an old one is likelier to be dead. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 4000;

/** Without a bound, each call into a cut-off data centre would leave a socket for minutes. */
const CONNECT_TIMEOUT_MILLISECONDS = 10_000;

/** Time for a connection to come free after its answer's own end; then it is dropped. */
const DRAIN_TIMEOUT_MILLISECONDS = 1000;

const noTimeouts = { headersTimeout: 0, bodyTimeout: 0 } as const;

/** An error out of the connector proves that the call had no connection to be written to. */
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

export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Read once. Throws `BackendServerFailure`; leaving it early drops the connection. */
  readonly body: AsyncIterable<Uint8Array>;
  /**
   * Says that the answer is whole by its own word, whatever is left of the body. Leaving the body
   * then keeps the connection, once the rest has come.
   */
  markComplete(): void;
}

function describeError(error: unknown): string {
  if (error instanceof AggregateError && error.message === '') {
    return error.errors.map(describeError).join('; ');
  }
  return error instanceof Error ? error.message : String(error);
}

function classifyError(error: unknown): BackendServerFailureKind {
  if (!(error instanceof Error)) return 'connectionLost';
  const code = 'code' in error ? error.code : undefined;
  if (code === 'UND_ERR_INVALID_ARG') return 'clientError';
  const isMalformed = error.name === 'HTTPParserError' || code === 'UND_ERR_HEADERS_OVERFLOW';
  return isMalformed ? 'malformed' : 'connectionLost';
}

function toFailure(cause: unknown, signal: AbortSignal, sent: SentState): BackendServerFailure {
  if (cause instanceof BackendServerFailure) return cause;
  const message = describeError(cause);
  if (cause instanceof ConnectError) {
    return new BackendServerFailure(message, { failure: 'connectFailed', sent: 'nothing', cause });
  }
  if (signal.aborted) {
    return new BackendServerFailure('the caller ended the call', {
      failure: 'silent',
      sent,
      cause,
    });
  }
  return new BackendServerFailure(message, { failure: classifyError(cause), sent, cause });
}

type ResponseBody = Dispatcher.ResponseData['body'];

/** Reads a body; `leave` decides what becomes of one that is not read to its end. */
async function* readBody(
  body: ResponseBody,
  signal: AbortSignal,
  onUnfinished: () => void,
): AsyncGenerator<Uint8Array> {
  try {
    for await (const bytes of body.iterator({ destroyOnReturn: false })) yield bytes as Uint8Array;
  } catch (error) {
    throw toFailure(error, signal, 'maybe');
  } finally {
    if (!body.readableEnded) onUnfinished();
  }
}

/** Lets the rest of an answer come and go, so that its connection can be used again. */
function drain(body: ResponseBody): void {
  const signal = AbortSignal.timeout(DRAIN_TIMEOUT_MILLISECONDS);
  body.dump({ limit: Infinity, signal }).catch(() => {});
}

function makeAnswer(data: Dispatcher.ResponseData, signal: AbortSignal): HttpAnswer {
  const { statusCode: status, headers, body } = data;
  // A body that breaks before its reader comes would otherwise end the process; the reader
  // still gets the error.
  body.on('error', () => {});
  let isComplete = false;
  const onUnfinished = () => {
    if (isComplete) drain(body);
    else body.destroy();
  };
  const markComplete = () => {
    isComplete = true;
  };
  return { status, headers, body: readBody(body, signal, onUnfinished), markComplete };
}

/** Wraps undici's connector; `onSocket` sees each socket before anything is written to it. */
function makeConnector(onSocket: (socket: Socket) => void): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS, keepAlive: true });
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

/** A connector that serves once, so that no second send can happen whatever the client does. */
function makeSingleUseConnector(onSocket: (socket: Socket) => void): buildConnector.connector {
  const connect = makeConnector(onSocket);
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(new Error('the one connection of this call is used up'), null);
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
}

/** Writes an IPv6 number as URLs want it. */
export function formatOrigin(host: string, port: number): string {
  return `http://${host.includes(':') ? `[${host}]` : host}:${port}`;
}

export class HttpConnections {
  private pool: Pool;

  private readonly singleCallClients = new Set<Client>();

  /** @param origin - Such as `http://127.0.0.1:8080`. */
  constructor(private readonly origin: string) {
    this.pool = this.openPool();
  }

  /** Sends a call that may be repeated, on a kept connection if one is free. */
  async send(call: HttpCall): Promise<HttpAnswer> {
    try {
      call.signal.throwIfAborted();
    } catch (error) {
      throw toFailure(error, call.signal, 'nothing');
    }
    try {
      return makeAnswer(await this.pool.request(call), call.signal);
    } catch (error) {
      throw toFailure(error, call.signal, 'maybe');
    }
  }

  /** Sends a call once, on a connection opened for it alone. */
  async sendOnNewConnection(call: HttpCall): Promise<HttpAnswer> {
    let socket: Socket | undefined;
    const connect = makeSingleUseConnector((opened) => {
      socket = opened;
    });
    const client = new Client(this.origin, { ...noTimeouts, pipelining: 1, connect });
    this.singleCallClients.add(client);
    try {
      call.signal.throwIfAborted();
      const data = await client.request({ ...call, reset: true });
      data.body.once('close', () => {
        this.singleCallClients.delete(client);
        void client.destroy();
      });
      return makeAnswer(data, call.signal);
    } catch (error) {
      this.singleCallClients.delete(client);
      await client.destroy();
      socket?.destroy();
      const sent = socket === undefined || socket.bytesWritten === 0 ? 'nothing' : 'maybe';
      throw toFailure(error, call.signal, sent);
    }
  }

  /** Leaves running calls their connections; later calls open new ones. */
  renew(): void {
    const previousPool = this.pool;
    this.pool = this.openPool();
    void previousPool.close();
  }

  /** Ends all connections at once; calls in progress fail with `connectionLost`. */
  async close(): Promise<void> {
    const clients = [...this.singleCallClients];
    this.singleCallClients.clear();
    await Promise.all([this.pool.destroy(), ...clients.map((client) => client.destroy())]);
  }

  private openPool(): Pool {
    return new Pool(this.origin, {
      ...noTimeouts,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      connect: makeConnector(() => {}),
    });
  }
}
