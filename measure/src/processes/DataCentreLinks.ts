/**
 * Stand-ins for the network between data centres: forwarders, one for each data centre and
 * process elsewhere, that can be cut. A cut is silent: connections stay open and carry nothing,
 * as when something between the two ends has lost track of them.
 */
import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type { ProcessAddress } from '@hornbeampond/schema';

const HOST = '127.0.0.1';

interface Link {
  readonly between: readonly [string, string];
  readonly server: Server;
  /** Both sockets of each forwarded connection. */
  readonly pairs: Set<readonly [Socket, Socket]>;
}

export class DataCentreLinks {
  private readonly links: Link[] = [];

  private readonly cutOff = new Set<string>();

  /** The address under which processes of `dataCentre` reach one elsewhere. */
  async forward(dataCentre: string, target: ProcessAddress): Promise<ProcessAddress> {
    const between = [dataCentre, target.dataCentre] as const;
    const server = createServer();
    const link: Link = { between, server, pairs: new Set() };
    server.on('connection', (inner) => this.join(link, inner, target));
    this.links.push(link);
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    return { ...target, host: HOST, port: (server.address() as AddressInfo).port };
  }

  setCut(dataCentre: string, cut: boolean): void {
    if (cut) this.cutOff.add(dataCentre);
    else this.cutOff.delete(dataCentre);
    this.links.forEach((link) => this.apply(link));
  }

  async close(): Promise<void> {
    await Promise.all(
      this.links.map(async ({ server, pairs }) => {
        pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
        await new Promise<void>((resolve) => {
          server.close(() => resolve());
        });
      }),
    );
  }

  private isCut({ between }: Link): boolean {
    return between.some((dataCentre) => this.cutOff.has(dataCentre));
  }

  private join(link: Link, inner: Socket, target: ProcessAddress): void {
    const outer = createConnection({ host: target.host, port: target.port });
    const pair = [inner, outer] as const;
    link.pairs.add(pair);
    const end = () => {
      link.pairs.delete(pair);
      pair.forEach((socket) => socket.destroy());
    };
    pair.forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    });
    inner.on('data', (bytes: Buffer) => this.pass(link, bytes, outer));
    outer.on('data', (bytes: Buffer) => this.pass(link, bytes, inner));
    this.apply(link);
  }

  private pass(link: Link, bytes: Buffer, to: Socket): void {
    if (!this.isCut(link)) to.write(bytes);
  }

  /** What was sent during a cut is lost, so its connection can never be trusted again. */
  private apply(link: Link): void {
    if (!this.isCut(link)) return;
    link.pairs.forEach((pair) => pair.forEach((socket) => socket.pause()));
  }
}
