/** Proposes claims to the stores of a cluster as entries do. */
import { StoreClient } from '@hornbeampond/transport';
import type { SettleClaimCommand, StoreCommand } from '@hornbeampond/schema';
import type { ProcessCluster } from '../processes/ProcessCluster.js';

const PATIENCE_MILLISECONDS = 5000;
const EXPIRY_MILLISECONDS = 60_000;
const ANSWER_BYTES = 1024;

export class ClaimLoad {
  private readonly client: StoreClient;

  private opened = 0;

  constructor(
    cluster: ProcessCluster,
    private readonly name: string,
  ) {
    this.client = new StoreClient(cluster.storeAddresses, cluster.makePeerContext(name, 'wien-a'));
  }

  /** Opens and settles one claim, with an answer of 1 KiB; resolves once both are agreed. */
  async run(): Promise<void> {
    this.opened += 1;
    const key = `offer-${this.name}-${this.opened}`;
    const intent = { workspace: 'first', key, attemptId: `${key}-attempt` };
    await this.propose(
      {
        type: 'openClaim',
        ...intent,
        digest: `digest-${key}`,
        holder: this.name,
        expiresAfter: EXPIRY_MILLISECONDS,
      },
      'claimOpened',
    );
    const answer: SettleClaimCommand['answer'] = {
      status: 201,
      headers: { 'content-type': 'application/json' },
      body: new Uint8Array(ANSWER_BYTES),
    };
    await this.propose({ type: 'settleClaim', ...intent, outcome: 'done', answer }, 'claimSettled');
  }

  async runTogether(count: number): Promise<void> {
    await Promise.all(Array.from({ length: count }, async () => this.run()));
  }

  close(): void {
    this.client.close();
  }

  private async propose(command: StoreCommand, expected: string): Promise<void> {
    const outcome = await this.client.propose(command, PATIENCE_MILLISECONDS);
    const type = outcome.type === 'result' ? outcome.result.type : outcome.type;
    if (type !== expected) throw new Error(`${command.type} ended as ${type}`);
  }
}
