/**
 * What all fakes share: a real HTTP server on the loopback interface, and the ways in which any
 * server can fail its clients: it dies, comes back, or its open connections go silent.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

interface Waiter {
  readonly predicate: () => boolean;
  readonly resolve: () => void;
}

export interface FakeServerOptions {
  readonly host?: string;
  /** 0, the default, takes any free port. */
  readonly port?: number;
}

export abstract class FakeServer {
  readonly host: string;

  /** Requests taken in, by `METHOD /path` without the query. */
  readonly requestCounts = new Map<string, number>();

  /** Connections accepted since the start. */
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

  /** Answers one request. A rejection becomes status 500. */
  protected abstract handle(request: IncomingMessage, response: ServerResponse): Promise<void>;

  /** Drops what a process loses when it dies. */
  protected abstract resetState(): void;

  /** What it calls itself since its start; another name after each `restart`. */
  get incarnation(): string {
    return `${this.port}-${this.startCount}`;
  }

  /** Begins to listen; after `die`, on the same port and with nothing remembered. */
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

  /** Ends at once, as a killed process does: connections break, later ones are refused. */
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
   * All open connections stay open but carry nothing more, in either direction; new ones work.
   * So it looks when something between the two ends has lost track of them.
   */
  stallOpenConnections(): void {
    this.sockets.forEach((socket) => {
      this.stalledSockets.add(socket);
      discardWrites(socket);
    });
  }

  /** Resolves once `predicate` holds; it is asked again after each change of the fake's state. */
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
    // What comes over a silent connection never reaches the server behind it.
    if (this.stalledSockets.has(request.socket)) return;
    const path = (request.url ?? '/').split('?')[0];
    const name = `${request.method} ${path}`;
    this.requestCounts.set(name, (this.requestCounts.get(name) ?? 0) + 1);
    this.notifyWaiters();
    this.handle(request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else answerJson(response, 500, { error: String(error) });
    });
  }
}

/** Makes a socket take what is written to it, and its end, without sending anything. */
function discardWrites(socket: Socket): void {
  const discard = () => {};
  Object.assign(socket, { _write: discard, _writev: discard, _final: discard });
}

/** Reads a request's body whole. */
export async function readRequestBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

export function answerJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
