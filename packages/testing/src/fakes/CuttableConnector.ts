/**
 * A connector of one process whose paths to backend servers can be cut, in the ways in which networks
 * lose them. Every connection passes through a forwarder on loopback, which drops bytes while the
 * path is cut silently.
 */
import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { DirectConnector, ServerConnector, type ServerEndpoint } from '@hornbeampond/adapters';

const HOST = '127.0.0.1';

/**
 * - `silent`: nothing arrives on open connections any more, and new ones are never established
 * - `reset`: open connections are reset, and new ones are refused
 * - `newOnly`: open connections live on, and new ones are refused
 */
export const cutKinds = ['silent', 'reset', 'newOnly'] as const;
export type CutKind = (typeof cutKinds)[number];

interface Forwarder {
  readonly server: Server;
  readonly pairs: Set<readonly [Socket, Socket]>;
}

export class CuttableConnector extends ServerConnector {
  private readonly direct = new DirectConnector();

  private readonly forwarders = new Map<string, Promise<Forwarder>>();

  private cut: CutKind | undefined;

  override async connect(server: ServerEndpoint, signal?: AbortSignal): Promise<Socket> {
    if (this.cut === 'silent') return CuttableConnector.hang(signal);
    if (this.cut !== undefined) throw new Error('connect ECONNREFUSED');
    const forwarder = await this.getOrStartForwarder(server);
    const { port } = forwarder.server.address() as AddressInfo;
    return this.direct.connect({ ...server, host: HOST, port }, signal);
  }

  /** Cuts the paths to all servers, or heals them; connections that were cut silently are lost. */
  async setCut(cut: CutKind | undefined): Promise<void> {
    const wasSilent = this.cut === 'silent';
    this.cut = cut;
    const forwarders = await Promise.all(this.forwarders.values());
    const pairs = forwarders.flatMap((forwarder) => [...forwarder.pairs]);
    if (cut === 'reset' || wasSilent) {
      pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
    }
  }

  async close(): Promise<void> {
    const forwarders = await Promise.all(this.forwarders.values());
    forwarders.forEach(({ server, pairs }) => {
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
      server.close();
    });
  }

  private static async hang(signal?: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
      signal?.addEventListener('abort', () => reject(new Error('connect ETIMEDOUT')));
    });
  }

  private async getOrStartForwarder(target: ServerEndpoint): Promise<Forwarder> {
    const key = `${target.host}:${target.port}`;
    const existing = this.forwarders.get(key);
    if (existing !== undefined) return existing;
    const started = this.startForwarder(target);
    this.forwarders.set(key, started);
    return started;
  }

  private async startForwarder(target: ServerEndpoint): Promise<Forwarder> {
    const forwarder: Forwarder = { server: createServer(), pairs: new Set() };
    forwarder.server.on('connection', (inner) => this.join(forwarder, inner, target));
    await new Promise<void>((resolve) => {
      forwarder.server.listen(0, HOST, resolve);
    });
    return forwarder;
  }

  private join(forwarder: Forwarder, inner: Socket, { host, port }: ServerEndpoint): void {
    const outer = createConnection({ host, port });
    const pair = [inner, outer] as const;
    forwarder.pairs.add(pair);
    const end = () => {
      forwarder.pairs.delete(pair);
      pair.forEach((socket) => socket.destroy());
    };
    pair.forEach((socket, index) => {
      const other = pair[1 - index];
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
      socket.on('data', (bytes: Buffer) => {
        if (this.cut !== 'silent') other?.write(bytes);
      });
    });
  }
}
