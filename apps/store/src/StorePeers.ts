/**
 * The connections from this store to the others, opened as they are needed: by the settings at
 * first, and by the members of the log later on.
 */
import type { StoreAddress } from '@hornbeampond/schema';
import type { Envelope } from '@hornbeampond/store-core';
import { PeerClient, type PeerContext } from '@hornbeampond/transport';

export class StorePeers {
  private readonly clients = new Map<string, PeerClient>();

  constructor(
    private readonly self: string,
    private readonly context: PeerContext,
  ) {}

  /** Keeps a connection to each of these stores; one that has moved is connected anew. */
  keep(addresses: readonly StoreAddress[]): void {
    addresses.forEach((address) => {
      if (address.instance === this.self) return;
      const known = this.clients.get(address.instance);
      if (known?.address.host === address.host && known.address.port === address.port) return;
      known?.close();
      this.clients.set(address.instance, new PeerClient(address, this.context));
    });
  }

  /** Sends if connected; what is lost, the agreement sends again. */
  send(instance: string, envelope: Envelope): void {
    this.clients.get(instance)?.push(envelope);
  }

  /** Every connection, for requests to whichever store leads. */
  get all(): readonly PeerClient[] {
    return [...this.clients.values()];
  }

  close(): void {
    this.clients.forEach((client) => client.close());
  }
}
