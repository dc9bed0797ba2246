/**
 * The connections from other entries and controllers to this entry, and from it to other entries. It
 * sends reports to all entries, receives theirs, reads their configurations and answers requests for
 * this entry's configuration and demand. It accepts reports only from entries and drains only from
 * controllers.
 */
import {
  PeerClient,
  PeerServer,
  type PeerContext,
  type PeerIdentity,
} from '@hornbeampond/transport';
import type {
  Configuration,
  EntryRequest,
  EntryResponse,
  EntrySettings,
  DrainedInstances,
  PeerReport,
  RouteDemandReport,
} from '@hornbeampond/schema';

export interface EntryPeersOptions {
  readonly settings: EntrySettings;
  readonly context: PeerContext;
  readConfiguration(): Configuration;
  readDemand(): readonly RouteDemandReport[];
  onReport(report: PeerReport): void;
  onDrains(drains: DrainedInstances): void;
}

const PEEK_TIMEOUT_MILLISECONDS = 500;

export class EntryPeers {
  private readonly server: PeerServer;

  private readonly clients: PeerClient[];

  constructor(private readonly options: EntryPeersOptions) {
    const { context, settings } = options;
    this.server = new PeerServer(context, {
      onPush: ({ peer }, body) => {
        if (peer.role === 'entry') options.onReport(body as PeerReport);
      },
      onRequest: ({ peer }, body, respond) =>
        respond(this.handleRequest(body as EntryRequest, peer.role)),
    });
    this.clients = settings.entries
      .filter((entry) => entry.instance !== settings.instance)
      .map((entry) => new PeerClient(entry, context));
  }

  private handleRequest(request: EntryRequest, role: PeerIdentity['role']): EntryResponse {
    if (request.type === 'peekConfiguration') {
      return { type: 'configuration', configuration: this.options.readConfiguration() };
    }
    if (request.drains !== undefined && role === 'controller') {
      this.options.onDrains(request.drains);
    }
    return { type: 'demand', demand: this.options.readDemand() };
  }

  async listen(): Promise<number> {
    return this.server.listen(this.options.settings.peerListen);
  }

  sendReport(report: PeerReport): void {
    this.clients.forEach((client) => client.push(report));
  }

  /** Reads the current configurations of the entries that respond in time. */
  async peekConfigurations(): Promise<Configuration[]> {
    const configurations = await Promise.all(
      this.clients.map(async (client) => {
        try {
          const request: EntryRequest = { type: 'peekConfiguration' };
          const response = (await client.request(
            request,
            PEEK_TIMEOUT_MILLISECONDS,
          )) as EntryResponse;
          return response.type === 'configuration' ? [response.configuration] : [];
        } catch {
          return [];
        }
      }),
    );
    return configurations.flat();
  }

  async close(): Promise<void> {
    this.clients.forEach((client) => client.close());
    await this.server.close();
  }
}
