/**
 * The connections from this store to the others: to the stores named in its settings, to the members
 * listed in the log and, while it joins, to the members that it has learnt from others.
 */
import type {
  KnownMembers,
  MembersAnswer,
  MembersRequest,
  ProcessAddress,
} from '@hornbeampond/schema';
import type { Envelope } from '@hornbeampond/store-core';
import { PeerClient, type PeerClientHandlers, type PeerContext } from '@hornbeampond/transport';

/** The part of `PeerClient` that stores use among themselves. */
export type StorePeerClient = Pick<
  PeerClient,
  'address' | 'isOpen' | 'request' | 'push' | 'connectNow' | 'close'
>;

export interface NamedPeer {
  readonly instance: string;
  readonly client: StorePeerClient;
}

export interface StorePeersOptions {
  /** The instance of this store. */
  readonly self: string;
  /**
   * Stores of the settings. Their addresses take precedence over all others, since the operator of
   * this instance knows how another store is reached from here.
   */
  readonly configured: readonly ProcessAddress[];
  openClient(address: ProcessAddress, handlers: PeerClientHandlers): StorePeerClient;
  /** The members that this store knows, for stores that join. */
  readMembers(): KnownMembers;
}

/** Opens clients as `StorePeers` needs them. */
export function makeOpenClient(context: PeerContext): StorePeersOptions['openClient'] {
  return (address, handlers) => new PeerClient(address, context, handlers);
}

export class StorePeers {
  private readonly clients = new Map<string, StorePeerClient>();

  private configured: readonly ProcessAddress[];

  private learnt: readonly ProcessAddress[] = [];

  private members: readonly ProcessAddress[] = [];

  constructor(private readonly options: StorePeersOptions) {
    this.configured = options.configured;
  }

  /**
   * Connects to the stores of the settings; call it only once this store listens. A peer that notices
   * an earlier connection would connect back immediately, be refused, and wait for its reconnect delay,
   * during which a leader could not reach this store.
   */
  open(): void {
    this.update();
  }

  /** Replaces the stores of the settings. */
  setConfigured(addresses: readonly ProcessAddress[]): void {
    this.configured = addresses;
    this.update();
  }

  /** Replaces the members that were learnt from others; they take precedence over those in the log. */
  setLearnt(addresses: readonly ProcessAddress[]): void {
    if (addresses.length === 0 && this.learnt.length === 0) return;
    this.learnt = addresses;
    this.update();
  }

  /** Connects to each member; closes connections to stores that nothing names. */
  updateMembers(addresses: readonly ProcessAddress[]): void {
    this.members = addresses;
    this.update();
  }

  private update(): void {
    const named = new Map<string, ProcessAddress>();
    [...this.members, ...this.learnt, ...this.configured].forEach((address) =>
      named.set(address.instance, address),
    );
    named.delete(this.options.self);
    this.clients.forEach((client, instance) => {
      if (named.has(instance)) return;
      client.close();
      this.clients.delete(instance);
    });
    named.forEach((address) => this.connect(address));
  }

  private connect(address: ProcessAddress): void {
    const { instance } = address;
    const existing = this.clients.get(instance);
    if (existing?.address.host === address.host && existing.address.port === address.port) return;
    existing?.close();
    const client = this.options.openClient(address, {
      onPush: (body) => this.receivePush(instance, body as Partial<MembersRequest>),
    });
    this.clients.set(instance, client);
  }

  private receivePush(instance: string, { type }: Partial<MembersRequest>): void {
    if (type !== 'requestMembers') return;
    const answer: MembersAnswer = { type: 'members', members: this.options.readMembers() };
    this.clients.get(instance)?.push(answer);
  }

  /** Sends if connected; consensus sends lost messages again. */
  send(instance: string, envelope: Envelope): void {
    this.clients.get(instance)?.push(envelope);
  }

  /** Connects without the reconnect delay; for a store that has just connected to this one. */
  reconnectNow(instance: string): void {
    this.clients.get(instance)?.connectNow();
  }

  /** The clients of the other stores that the settings name, by instance. */
  get configuredClients(): ReadonlyMap<string, StorePeerClient> {
    const configured = new Set(this.configured.map(({ instance }) => instance));
    return new Map([...this.clients].filter(([instance]) => configured.has(instance)));
  }

  /** All clients, for requests that only the leader can answer. */
  get all(): readonly NamedPeer[] {
    return [...this.clients].map(([instance, client]) => ({ instance, client }));
  }

  /** Names of the stores to which a connection is open. */
  get connected(): readonly string[] {
    return [...this.clients].filter(([, client]) => client.isOpen).map(([instance]) => instance);
  }

  close(): void {
    this.clients.forEach((client) => client.close());
  }
}
