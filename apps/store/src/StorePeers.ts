/**
 * The connections from this store to the others: those of the settings, and those that the log has
 * taken in since.
 */
import type { StoreAddress } from '@hornbeampond/schema';
import type { Envelope } from '@hornbeampond/store-core';
import { PeerClient, type PeerContext } from '@hornbeampond/transport';

export class StorePeers {
  private readonly clients = new Map<string, PeerClient>();

  private configuredNames: ReadonlySet<string>;

  private members: readonly StoreAddress[] = [];

  /**
   * @param configured - Stores of the settings. Their addresses hold, whatever the log says: how
   *   another store is reached from here is for this instance's operator to know.
   */
  constructor(
    private readonly self: string,
    private readonly context: PeerContext,
    private configured: readonly StoreAddress[],
  ) {
    this.configuredNames = new Set(configured.map(({ instance }) => instance));
  }

  /**
   * Connects to the stores of the settings; to be called once this store listens. A peer that is
   * greeted earlier connects back at once, is refused, and then waits out a pause that has grown
   * while this store was away: for up to two seconds the leader could not reach it.
   */
  open(): void {
    this.configured.forEach((address) => this.connect(address));
  }

  /** Takes over the stores that changed settings name. */
  setConfigured(addresses: readonly StoreAddress[]): void {
    this.configured = addresses;
    this.configuredNames = new Set(addresses.map(({ instance }) => instance));
    this.open();
    this.updateMembers(this.members);
  }

  /** Keeps a connection to each member of the log, and to no other that the settings don't name. */
  updateMembers(addresses: readonly StoreAddress[]): void {
    this.members = addresses;
    const members = new Set(addresses.map(({ instance }) => instance));
    this.clients.forEach((client, instance) => {
      if (members.has(instance) || this.configuredNames.has(instance)) return;
      client.close();
      this.clients.delete(instance);
    });
    addresses
      .filter(({ instance }) => !this.configuredNames.has(instance))
      .forEach((address) => this.connect(address));
  }

  private connect(address: StoreAddress): void {
    if (address.instance === this.self) return;
    const existing = this.clients.get(address.instance);
    if (existing?.address.host === address.host && existing.address.port === address.port) return;
    existing?.close();
    this.clients.set(address.instance, new PeerClient(address, this.context));
  }

  /** Sends if connected; what is lost, the agreement sends again. */
  send(instance: string, envelope: Envelope): void {
    this.clients.get(instance)?.push(envelope);
  }

  /** A store that has just connected to us can be connected to: a repair need not wait. */
  reconnectNow(instance: string): void {
    this.clients.get(instance)?.connectNow();
  }

  /** Every connection, for requests to whichever store leads. */
  get all(): readonly PeerClient[] {
    return [...this.clients.values()];
  }

  close(): void {
    this.clients.forEach((client) => client.close());
  }
}
