/**
 * Exchanges data with entries and other controllers once a second. Entries receive the drained
 * instances and answer with their demand, which counts only from entries of this data centre. Other
 * controllers receive the report of this data centre, and their reports are received here. Drains
 * and reports are sent only while the lease is held.
 */
import type { DataCentreReport } from '@hornbeampond/controller-core';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  ControllerSettings,
  EntryRequest,
  EntryResponse,
  DrainedInstances,
  RouteDemandReport,
  ProcessAddress,
} from '@hornbeampond/schema';
import { PeerClient, PeerServer, type PeerContext } from '@hornbeampond/transport';

const EXCHANGE_INTERVAL_MILLISECONDS = 1000;
const REQUEST_TIMEOUT_MILLISECONDS = 900;

/** Daily profiles change slowly, so only one in this many reports carries them. */
const REPORTS_PER_DAILY_PROFILES = 60;

export interface FleetExchangeOptions {
  readonly settings: ControllerSettings;
  readonly context: PeerContext;
  readonly timers: TimerService;
  /** The drains to send to entries; undefined while the lease is not held. */
  readDrains(): DrainedInstances | undefined;
  /** The report to send to other controllers; undefined while the lease is not held. */
  readReport(withDailyProfiles: boolean): DataCentreReport | undefined;
  onDemand(entry: string, demand: readonly RouteDemandReport[]): void;
  onReport(report: DataCentreReport): void;
}

interface Peer {
  readonly address: ProcessAddress;
  readonly client: PeerClient;
}

export class FleetExchange {
  private readonly server: PeerServer;

  private readonly controllers: readonly Peer[];

  private readonly entries: readonly Peer[];

  private stopExchange: Unsubscribe = () => {};

  private reportCount = 0;

  constructor(private readonly options: FleetExchangeOptions) {
    const { settings, context } = options;
    this.server = new PeerServer(context, {
      onPush: (session, body) => {
        if (session.peer.role === 'controller') options.onReport(body as DataCentreReport);
      },
    });
    const connect = (address: ProcessAddress): Peer => ({
      address,
      client: new PeerClient(address, context),
    });
    this.controllers = settings.controllers
      .filter(({ instance }) => instance !== settings.instance)
      .map(connect);
    this.entries = settings.entries.map(connect);
  }

  async start(): Promise<number> {
    this.stopExchange = this.options.timers.every(EXCHANGE_INTERVAL_MILLISECONDS, () =>
      this.exchangeNow(),
    );
    return this.server.listen(this.options.settings.peerListen);
  }

  async close(): Promise<void> {
    this.stopExchange();
    [...this.controllers, ...this.entries].forEach(({ client }) => client.close());
    await this.server.close();
  }

  /** Exchanges without waiting for the next interval, so that entries see a drain immediately. */
  exchangeNow(): void {
    const report = this.options.readReport(this.reportCount % REPORTS_PER_DAILY_PROFILES === 0);
    this.reportCount += 1;
    if (report !== undefined) this.controllers.forEach(({ client }) => client.push(report));
    this.entries.forEach((entry) => {
      void this.exchangeWithEntry(entry);
    });
  }

  private async exchangeWithEntry({ address, client }: Peer): Promise<void> {
    if (!client.isOpen) return;
    const { readDrains, onDemand, settings } = this.options;
    const drains = readDrains();
    const request: EntryRequest = {
      type: 'exchangeFleet',
      ...(drains === undefined ? {} : { drains }),
    };
    try {
      const response = (await client.request(
        request,
        REQUEST_TIMEOUT_MILLISECONDS,
      )) as EntryResponse;
      if (response.type !== 'demand' || address.dataCentre !== settings.dataCentre) return;
      onDemand(address.instance, response.demand);
    } catch {
      // The next exchange sends the drains again; the reducer expires demand that is not renewed.
    }
  }
}
