/**
 * TCP proxies between the stores of a test, one for each direction of each pair. The connections of an
 * isolated store stay open, but all data on them is dropped.
 */
import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

export const LOOPBACK = '127.0.0.1';

interface Link {
  readonly stores: readonly [string, string];
  readonly server: Server;
  readonly sockets: Set<Socket>;
}

export class StoreLinks {
  private readonly links: Link[] = [];

  private readonly isolatedStores = new Set<string>();

  /** The port on which each store itself listens, once it has started. */
  private readonly ports = new Map<string, number>();

  /** Opens a proxy from one store to another and returns its port. */
  async open(from: string, to: string): Promise<number> {
    const server = createServer();
    const link: Link = { stores: [from, to], server, sockets: new Set() };
    server.on('connection', (incoming) => this.connectLink(link, incoming));
    this.links.push(link);
    await new Promise<void>((resolve) => {
      server.listen(0, LOOPBACK, resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  setPort(store: string, port: number): void {
    this.ports.set(store, port);
  }

  isolate(store: string): void {
    this.isolatedStores.add(store);
  }

  /** Ends an isolation. Data was dropped meanwhile, so the connections of the store are closed. */
  heal(store: string): void {
    this.isolatedStores.delete(store);
    this.links
      .filter(({ stores }) => stores.includes(store))
      .forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  }

  async close(): Promise<void> {
    await Promise.all(
      this.links.map(async ({ server, sockets }) => {
        sockets.forEach((socket) => socket.destroy());
        await new Promise<void>((resolve) => {
          server.close(() => resolve());
        });
      }),
    );
  }

  private connectLink(link: Link, incoming: Socket): void {
    const port = this.ports.get(link.stores[1]);
    if (port === undefined) {
      incoming.destroy();
      return;
    }
    const outgoing = createConnection({ host: LOOPBACK, port });
    const pair = [incoming, outgoing];
    pair.forEach((socket) => {
      link.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => {
        link.sockets.delete(socket);
        pair.forEach((either) => either.destroy());
      });
    });
    incoming.on('data', (bytes: Buffer) => this.forward(link, bytes, outgoing));
    outgoing.on('data', (bytes: Buffer) => this.forward(link, bytes, incoming));
  }

  private forward({ stores }: Link, bytes: Buffer, to: Socket): void {
    if (!stores.some((store) => this.isolatedStores.has(store))) to.write(bytes);
  }
}
