/**
 * Knows which connection carried a call, and whether the server has closed that connection and not reset
 * it. `undici` takes a reset for the end of a body that has neither a length nor chunks, and also a close
 * that comes before the request was sent.
 */
import type { Socket } from 'node:net';
import { Client, type buildConnector, type Dispatcher } from 'undici';
import { hasPeer } from '../hasPeer.js';
import { hasUnsentBytes } from '../hasUnsentBytes.js';

const closedByServer = new WeakSet<Socket>();

/**
 * Must be called before anything else listens to the end of the connection.
 *
 * @param requestBytes - Returns the length of the body of the request that was sent last.
 */
function watchEnd(socket: Socket, requestBytes: () => number): void {
  // Must run before the listener of `net`, which closes the connection in turn.
  socket.prependOnceListener('end', () => {
    if (hasPeer(socket) && !hasUnsentBytes(socket, requestBytes())) closedByServer.add(socket);
  });
}

/**
 * True once the server has closed the connection after all bytes that were read from it. Never true if
 * bytes of a request had not been sent by then.
 */
export function isClosedByServer(socket: Socket): boolean {
  return closedByServer.has(socket);
}

/** Finds the connection of a call once its answer has begun. */
export class CallConnection {
  private client: ConnectionClient | undefined;

  dispatchedTo(client: ConnectionClient): void {
    this.client = client;
  }

  get socket(): Socket | undefined {
    return this.client?.socket;
  }
}

export type TrackedCall = Dispatcher.DispatchOptions & { readonly connection?: CallConnection };

type Connect = buildConnector.connector;

interface Newest {
  socket?: Socket;
  /** Length of the body of the newest call; there is one at a time. */
  requestBytes: number;
}

/** Calls have no bodies of other kinds. */
function countBytes(body: Dispatcher.DispatchOptions['body']): number {
  return typeof body === 'string' || body instanceof Uint8Array ? Buffer.byteLength(body) : 0;
}

/** A client that knows its newest connection, and tells each call that it is the one that sends it. */
export class ConnectionClient extends Client {
  private readonly newest: Newest;

  constructor(origin: string | URL, options: Client.Options & { readonly connect: Connect }) {
    const newest: Newest = { requestBytes: 0 };
    const connect: Connect = (target, callback) =>
      options.connect(target, (...outcome) => {
        const [, socket] = outcome;
        if (socket !== null) {
          watchEnd(socket, () => newest.requestBytes);
          newest.socket = socket;
        }
        callback(...outcome);
      });
    super(origin, { ...options, connect });
    this.newest = newest;
  }

  get socket(): Socket | undefined {
    return this.newest.socket;
  }

  override dispatch(call: TrackedCall, handler: Dispatcher.DispatchHandler): boolean {
    call.connection?.dispatchedTo(this);
    this.newest.requestBytes = countBytes(call.body);
    return super.dispatch(call, handler);
  }
}
