/**
 * The connections between entries: each sends its whole report to all others, and tells a
 * starting one which configuration it knows.
 */
import { PeerClient, PeerServer, type PeerContext } from '@hornbeampond/transport';
import type {
  Configuration,
  EntryReport,
  EntrySettings,
  StoreResponse,
} from '@hornbeampond/schema';

export interface EntryPeersOptions {
  readonly settings: EntrySettings;
  readonly context: PeerContext;
  readConfiguration(): Configuration;
  onReport(report: EntryReport): void;
}

const PEEK_MILLISECONDS = 500;

export class EntryPeers {
  private readonly server: PeerServer;

  private readonly clients: PeerClient[];

  constructor(private readonly options: EntryPeersOptions) {
    const { context, settings } = options;
    this.server = new PeerServer(context, {
      onPush: (_session, body) => options.onReport(body as EntryReport),
      onRequest: (_session, _body, respond) => {
        const response: StoreResponse = {
          type: 'configuration',
          configuration: options.readConfiguration(),
        };
        respond(response);
      },
    });
    this.clients = settings.entries
      .filter((entry) => entry.instance !== settings.instance)
      .map((entry) => new PeerClient(entry, context));
  }

  async listen(): Promise<number> {
    return this.server.listen(this.options.settings.peerListen);
  }

  report(report: EntryReport): void {
    this.clients.forEach((client) => client.push(report));
  }

  /** The configurations that the reachable entries have in force. */
  async peekConfigurations(): Promise<Configuration[]> {
    const answers = await Promise.all(
      this.clients.map(async (client) => {
        try {
          const request = { type: 'peekConfiguration' };
          const response = (await client.request(request, PEEK_MILLISECONDS)) as StoreResponse;
          return response.type === 'configuration' ? [response.configuration] : [];
        } catch {
          return [];
        }
      }),
    );
    return answers.flat();
  }

  async close(): Promise<void> {
    this.clients.forEach((client) => client.close());
    await this.server.close();
  }
}
