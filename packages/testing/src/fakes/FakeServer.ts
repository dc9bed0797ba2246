/**
 * Base class of all fakes: a real HTTP server, by default on the loopback interface. Tests can kill
 * it, restart it, stall its open connections and wait for a change of its state.
 */
import { CALL_ID_HEADER } from '@hornbeampond/adapters';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

interface Waiter {
  readonly predicate: () => boolean;
  readonly resolve: () => void;
}

export interface FakeServerOptions {
  readonly host?: string;
  /** 0, the default, selects any free port. */
  readonly port?: number;
}

export abstract class FakeServer {
  readonly host: string;

  /** Received requests, by `METHOD /path` without the query. */
  readonly requestCounts = new Map<string, number>();

  /** Connections accepted since construction. */
  connectionCount = 0;

  private listeningPort: number;

  private server: Server | undefined;

  private startCount = 0;

  private readonly sockets = new Set<Socket>();

  private readonly stalledSockets = new WeakSet<Socket>();

  private readonly waiters = new Set<Waiter>();

  protected constructor({ host = LOOPBACK, port = 0 }: FakeServerOptions) {
    this.host = host;
    this.listeningPort = port;
  }

  get port(): number {
    return this.listeningPort;
  }

  get url(): string {
    return `http://${this.host}:${this.port}`;
  }

  get alive(): boolean {
    return this.server !== undefined;
  }

  /** Answers one request. A rejection is answered with status 500 if the headers are not sent. */
  protected abstract handle(request: IncomingMessage, response: ServerResponse): Promise<void>;

  /** Resets the state that a process loses when it dies. */
  protected abstract resetState(): void;

  /** Identifies this run of the server; differs after each `restart`. */
  get incarnation(): string {
    return `${this.port}-${this.startCount}`;
  }

  /** Starts to listen; after `die`, on the same port. */
  async restart(): Promise<void> {
    const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
      this.receiveRequest(request, response);
    });
    server.on('connection', (socket) => this.trackConnection(socket));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.listeningPort, this.host, resolve);
    });
    this.listeningPort = (server.address() as AddressInfo).port;
    this.server = server;
    this.startCount += 1;
  }

  /** Stops like a killed process: resets the state, breaks connections and refuses new ones. */
  async die(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    this.server = undefined;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.resetState();
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
    this.notifyWaiters();
  }

  async close(): Promise<void> {
    await this.die();
  }

  /**
   * Transfers nothing more over the open connections but does not close them; new connections work.
   * This simulates a network device that has lost the state of the connections.
   */
  stallOpenConnections(): void {
    this.sockets.forEach((socket) => {
      this.stalledSockets.add(socket);
      discardWrites(socket);
    });
  }

  /** Resolves once `predicate` returns true; evaluates it now and after each change of state. */
  async waitFor(predicate: () => boolean): Promise<void> {
    if (predicate()) return;
    await new Promise<void>((resolve) => {
      this.waiters.add({ predicate, resolve });
    });
  }

  protected notifyWaiters(): void {
    this.waiters.forEach((waiter) => {
      if (!waiter.predicate()) return;
      this.waiters.delete(waiter);
      waiter.resolve();
    });
  }

  private trackConnection(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.notifyWaiters();
    });
    this.notifyWaiters();
  }

  private receiveRequest(request: IncomingMessage, response: ServerResponse): void {
    // A request over a stalled connection never reaches the server.
    if (this.stalledSockets.has(request.socket)) return;
    const path = (request.url ?? '/').split('?')[0];
    const name = `${request.method} ${path}`;
    this.requestCounts.set(name, (this.requestCounts.get(name) ?? 0) + 1);
    this.notifyWaiters();
    const callId = request.headers[CALL_ID_HEADER];
    if (callId !== undefined) response.setHeader(CALL_ID_HEADER, callId);
    this.handle(request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else answerJson(response, 500, { error: String(error) });
    });
  }
}

/** Makes a socket accept `write` and `end` but send nothing and never complete either. */
function discardWrites(socket: Socket): void {
  const discard = () => {};
  Object.assign(socket, { _write: discard, _writev: discard, _final: discard });
}

/** Reads the complete body of a request. */
export async function readRequestBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

export function answerJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
