/**
 * The connections from this store to the others: to the stores named in its settings and to the
 * members listed in the log.
 */
import type { ProcessAddress } from '@hornbeampond/schema';
import type { Envelope } from '@hornbeampond/store-core';
import { PeerClient, type PeerContext } from '@hornbeampond/transport';

export class StorePeers {
  private readonly clients = new Map<string, PeerClient>();

  private configuredNames: ReadonlySet<string>;

  private members: readonly ProcessAddress[] = [];

  /**
   * @param configured - Stores of the settings. Their addresses take precedence over those in the log,
   *   since the operator of this instance knows how another store is reached from here.
   */
  constructor(
    private readonly self: string,
    private readonly context: PeerContext,
    private configured: readonly ProcessAddress[],
  ) {
    this.configuredNames = new Set(configured.map(({ instance }) => instance));
  }

  /**
   * Connects to the stores of the settings; call it only once this store listens. A peer that notices
   * an earlier connection would connect back immediately, be refused, and wait for its reconnect delay,
   * during which a leader could not reach this store.
   */
  open(): void {
    this.configured.forEach((address) => this.connect(address));
  }

  /** Replaces the stores of the settings. */
  setConfigured(addresses: readonly ProcessAddress[]): void {
    this.configured = addresses;
    this.configuredNames = new Set(addresses.map(({ instance }) => instance));
    this.open();
    this.updateMembers(this.members);
  }

  /** Connects to each member; closes connections to stores that neither log nor settings name. */
  updateMembers(addresses: readonly ProcessAddress[]): void {
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

  private connect(address: ProcessAddress): void {
    if (address.instance === this.self) return;
    const existing = this.clients.get(address.instance);
    if (existing?.address.host === address.host && existing.address.port === address.port) return;
    existing?.close();
    this.clients.set(address.instance, new PeerClient(address, this.context));
  }

  /** Sends if connected; consensus sends lost messages again. */
  send(instance: string, envelope: Envelope): void {
    this.clients.get(instance)?.push(envelope);
  }

  /** Connects without the reconnect delay; for a store that has just connected to this one. */
  reconnectNow(instance: string): void {
    this.clients.get(instance)?.connectNow();
  }

  /** All clients, for requests that only the leader can answer. */
  get all(): readonly PeerClient[] {
    return [...this.clients.values()];
  }

  /** Names of the stores to which a connection is open. */
  get connected(): readonly string[] {
    return [...this.clients].filter(([, client]) => client.isOpen).map(([instance]) => instance);
  }

  close(): void {
    this.clients.forEach((client) => client.close());
  }
}
