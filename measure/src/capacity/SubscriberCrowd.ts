/** Many subscribers of one store within this process, which stand in for entries. */
import { StoreClient, type PeerContext } from '@hornbeampond/transport';
import type { Configuration } from '@hornbeampond/schema';
import type { ProcessCluster } from '../processes/ProcessCluster.js';
import { waitUntil } from './waitUntil.js';

const dataCentre = 'wien-a';

export class SubscriberCrowd {
  private readonly clients: StoreClient[];

  /** Revision that each has, and when the last change came, by the wall clock. */
  private readonly revisions: number[];

  private lastChangeAt = 0;

  constructor(cluster: ProcessCluster, count: number) {
    this.revisions = Array.from({ length: count }, () => 0);
    this.clients = this.revisions.map((_, position) => {
      const instance = `subscriber-${position + 1}`;
      return this.connect(cluster, cluster.makePeerContext(instance, dataCentre), position);
    });
  }

  /** Resolves with the time at which the last of them had the revision; 0 if there are none. */
  async waitForRevision(revision: number): Promise<number> {
    await waitUntil(() => this.revisions.every((known) => known >= revision), 'a revision');
    return this.lastChangeAt;
  }

  close(): void {
    this.clients.forEach((client) => client.close());
  }

  private connect(cluster: ProcessCluster, context: PeerContext, position: number): StoreClient {
    const { instance } = context.identity;
    const report = { instance, dataCentre, role: 'entry' as const, revision: 0, cutOff: false };
    const onConfiguration = ({ revision }: Configuration) => {
      this.revisions[position] = revision;
      this.lastChangeAt = Date.now();
    };
    return new StoreClient(cluster.storeAddresses, context, { onConfiguration }, report);
  }
}
