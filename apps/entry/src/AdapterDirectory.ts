/**
 * Creates and holds one adapter per backend server address. The entry app communicates with backend
 * servers only through these adapters. Adapters of servers that are no longer listed are dropped.
 */
import {
  DirectConnector,
  type EngineAdapter,
  type PlainServiceAdapter,
  type RelayAdapter,
  type ServerConnector,
  type ServerEndpoint,
  type ServerStatement,
} from '@hornbeampond/adapters';
import type { AttemptTarget } from '@hornbeampond/entry-core';

export type BackendServerAdapter =
  | { readonly kind: 'modelEngine'; readonly adapter: EngineAdapter }
  | { readonly kind: 'plainService'; readonly adapter: PlainServiceAdapter }
  | { readonly kind: 'relay'; readonly adapter: RelayAdapter };

/** Creates the adapter for a backend server, which opens its connections with the connector. */
export type MakeAdapter = (
  target: AttemptTarget,
  connector: ServerConnector,
) => BackendServerAdapter;

export class AdapterDirectory {
  private readonly adapters = new Map<string, BackendServerAdapter>();

  constructor(
    private readonly makeAdapter: MakeAdapter,
    private readonly onStatement: (instance: string, statement: ServerStatement) => void,
    private readonly connector: ServerConnector = new DirectConnector(),
  ) {}

  /**
   * Returns the adapter for a backend server; creates one if none exists for its instance, kind,
   * host and port.
   */
  getOrCreate(target: AttemptTarget): BackendServerAdapter {
    const key = this.makeKey(target);
    const existing = this.adapters.get(key);
    if (existing !== undefined) return existing;
    const created = this.makeAdapter(target, this.connector);
    this.adapters.set(key, created);
    if (created.kind === 'relay') {
      created.adapter.onStatement = (statement) => this.onStatement(target.instance, statement);
    }
    return created;
  }

  getEngineAdapter(target: AttemptTarget): EngineAdapter {
    const backendServerAdapter = this.getOrCreate(target);
    if (backendServerAdapter.kind !== 'modelEngine')
      throw new TypeError(`${target.instance} is not a model engine`);
    return backendServerAdapter.adapter;
  }

  getPlainServiceAdapter(target: AttemptTarget): PlainServiceAdapter {
    const backendServerAdapter = this.getOrCreate(target);
    if (backendServerAdapter.kind !== 'plainService')
      throw new TypeError(`${target.instance} is not a plain service`);
    return backendServerAdapter.adapter;
  }

  getRelayAdapter(target: AttemptTarget): RelayAdapter {
    const backendServerAdapter = this.getOrCreate(target);
    if (backendServerAdapter.kind !== 'relay')
      throw new TypeError(`${target.instance} does not accept opaque calls`);
    return backendServerAdapter.adapter;
  }

  /**
   * Drops the adapters of backend servers that are not listed. The list lags and can briefly omit a
   * running server, so streams that are still open are not interrupted.
   */
  retainOnly(targets: readonly AttemptTarget[]): void {
    const listedKeys = new Set(targets.map((target) => this.makeKey(target)));
    [...this.adapters].forEach(([key, { adapter }]) => {
      if (listedKeys.has(key)) return;
      this.adapters.delete(key);
      adapter.renewConnections();
    });
  }

  /** Lets later calls to a backend server open new connections. */
  renewConnections({ instance, host, port }: ServerEndpoint): void {
    this.adapters.forEach(({ adapter }, key) => {
      const [name, , ...address] = key.split(' ');
      if (name === instance && address.join(' ') === `${host} ${port}`) adapter.renewConnections();
    });
  }

  async close(): Promise<void> {
    const adapters = [...this.adapters.values()];
    this.adapters.clear();
    await Promise.all(adapters.map(async ({ adapter }) => adapter.close()));
  }

  private makeKey({ instance, kind, host, port }: AttemptTarget): string {
    return `${instance} ${kind} ${host} ${port}`;
  }
}
