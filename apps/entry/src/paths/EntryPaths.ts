/**
 * The paths of an entry to the backend servers: its own, those through other entries where its own are
 * lost, and the tunnels that it gives to others.
 */
import type { Socket } from 'node:net';
import { DirectConnector, type ServerConnector, type ServerEndpoint } from '@hornbeampond/adapters';
import { listTunnelPeers, type EntryEventPayload, type EntryState } from '@hornbeampond/entry-core';
import type { Logger, Metrics, TimerService } from '@hornbeampond/runtime';
import type { EntrySettings, Milliseconds } from '@hornbeampond/schema';
import { TunnelServer } from '@hornbeampond/transport';
import { PathConnector } from './PathConnector.js';

const DRAIN_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 100;

export interface EntryPathsOptions {
  readonly settings: EntrySettings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Connects to a backend server by this process's own path. */
  readonly direct: ServerConnector | undefined;
  readState(): EntryState;
  dispatch(event: EntryEventPayload): void;
  renewConnections(server: ServerEndpoint): void;
}

export class EntryPaths {
  /** For the adapters of this process. */
  readonly connector: PathConnector;

  private readonly direct: ServerConnector;

  private readonly tunnelServer: TunnelServer;

  constructor(private readonly options: EntryPathsOptions) {
    const { settings, timers, readState, dispatch, renewConnections } = options;
    const { cluster, clusterSecret: secret, instance, dataCentre } = settings;
    this.direct = options.direct ?? new DirectConnector();
    this.connector = new PathConnector({
      timers,
      direct: this.direct,
      identity: { cluster, instance, dataCentre },
      secret,
      isSlow: () => readState().slowness.detector.isSlow,
      readPeers: () => listTunnelPeers(readState()),
      listServers: () => this.listServers(),
      onPathChanged: (change) => dispatch({ type: 'serverPathChanged', ...change }),
      renewConnections,
    });
    this.tunnelServer = new TunnelServer({
      cluster,
      secret,
      timers,
      connect: async (server, signal) => this.connectForOther(server, signal),
      onCount: (count) => options.metrics.setGauge('servedTunnels', count),
      onRefused: (entry, backendServer, reason) =>
        options.logger.write('tunnelRefused', { entry, backendServer, reason }),
    });
  }

  /** Accepts tunnels of other entries, if the settings say where. */
  async listen(): Promise<void> {
    const { tunnelListen } = this.options.settings;
    if (tunnelListen === undefined) return;
    const port = await this.tunnelServer.listen(tunnelListen);
    this.options.dispatch({ type: 'tunnelsAccepted', address: { ...tunnelListen, port } });
  }

  /** Resolves once no other entry uses a tunnel here any more, or when the time is over. */
  async drain(timeout: Milliseconds): Promise<void> {
    const { timers } = this.options;
    const endsAt = timers.monotonicNow() + timeout;
    while (this.tunnelServer.count > 0 && timers.monotonicNow() < endsAt) {
      await timers.wait(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
  }

  async close(): Promise<void> {
    this.connector.close();
    if (this.options.settings.tunnelListen !== undefined) await this.tunnelServer.close();
  }

  private listServers(): ServerEndpoint[] {
    const { backendServers } = this.options.readState();
    return [...backendServers.values()].map(({ platformInstance }) => platformInstance);
  }

  /** Never through a tunnel, so that two entries without a path do not ask each other. */
  private async connectForOther(instance: string, signal: AbortSignal): Promise<Socket> {
    const server = this.options.readState().backendServers.get(instance);
    if (server === undefined) throw new Error('unknown backend server');
    return this.direct.connect(server.platformInstance, signal);
  }
}
