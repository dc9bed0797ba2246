/**
 * Opens connections to backend servers. Adapters ask it instead of the network, so that the process
 * that they belong to decides by which path a server is reached.
 */
import { createConnection, type Socket } from 'node:net';

/** A backend server and the address under which this process knows it. */
export interface ServerEndpoint {
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}

export abstract class ServerConnector {
  /** Resolves with a connected socket to which nothing was written; the caller owns it. */
  abstract connect(server: ServerEndpoint, signal?: AbortSignal): Promise<Socket>;
}

/** After this time without data the operating system sends keep-alive probes. */
const KEEP_ALIVE_PROBE_DELAY_MILLISECONDS = 1000;

const directConnections = new WeakSet<Socket>();

/**
 * True for a connection to the address of the backend server itself. The other end of a tunnel is a
 * process of the cluster: if that is killed, the operating system closes the connection for it.
 */
export function isDirectConnection(socket: Socket): boolean {
  return directConnections.has(socket);
}

/** Connects to the address itself, without a time limit of its own. */
export class DirectConnector extends ServerConnector {
  override async connect({ host, port }: ServerEndpoint, signal?: AbortSignal): Promise<Socket> {
    const socket = createConnection({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MILLISECONDS,
    });
    return new Promise((resolve, reject) => {
      const abort = () => socket.destroy(new Error('the connection was not opened in time'));
      const finish = () => signal?.removeEventListener('abort', abort);
      if (signal?.aborted === true) abort();
      else signal?.addEventListener('abort', abort, { once: true });
      socket.once('error', (error) => {
        finish();
        reject(error);
      });
      socket.once('connect', () => {
        finish();
        socket.removeAllListeners('error');
        directConnections.add(socket);
        resolve(socket);
      });
    });
  }
}

/** How the agents of Node and the connectors of undici take a connection. */
export type ConnectionCallback = (error: Error | null, socket: Socket | null) => void;

/** Calls back as the agents of Node and the connectors of undici expect it. */
export function connectWithCallback(
  connector: ServerConnector,
  server: ServerEndpoint,
  callback: ConnectionCallback,
  signal?: AbortSignal,
): void {
  connector.connect(server, signal).then(
    (socket) => callback(null, socket),
    (error: unknown) => callback(error instanceof Error ? error : new Error(String(error)), null),
  );
}
