/**
 * How entries, controllers and the operators' port reach the stores: it finds the leader, sends
 * commands again under the same intent when an answer is lost, and keeps a subscription open.
 */
import { HornbeampondError } from '@hornbeampond/schema';
import type {
  CommandResult,
  Configuration,
  EntryReport,
  InstanceReport,
  Milliseconds,
  SharedInstance,
  SpendingReport,
  StoreAddress,
  StoreCommand,
  StorePush,
  StoreRequest,
  StoreResponse,
  StoreStatus,
  VoterAddress,
  WorkReport,
} from '@hornbeampond/schema';
import { PeerClient, PeerRequestError } from './PeerClient.js';
import type { PeerContext } from './PeerConnection.js';
import {
  StoreSubscription,
  type StoreClientHandlers,
  type StorePeer,
} from './StoreSubscription.js';

/** How a proposal ended. */
export type ProposalOutcome =
  | { readonly type: 'result'; readonly result: CommandResult }
  /** The command is provably in no log and will not get into one. */
  | { readonly type: 'unavailable' }
  /** The command may be in the log; resend it under the same intent to learn. */
  | { readonly type: 'unsure' };

/** A store that does not answer within this span is passed over for another. */
const ATTEMPT_MILLISECONDS = 1500;
const PAUSE_MILLISECONDS = 40;
const STATUS_MILLISECONDS = 1000;

export class StoreClient {
  private stores: StorePeer[];

  private seeds: readonly StoreAddress[];

  /** The members of the log, as last told; none until then. */
  private members: readonly VoterAddress[] = [];

  private leader: string | undefined;

  private next = 0;

  private readonly subscription: StoreSubscription;

  private stopped = false;

  constructor(
    addresses: readonly StoreAddress[],
    private readonly context: PeerContext,
    handlers: StoreClientHandlers = {},
    report?: InstanceReport,
    /**
     * True to connect to all members of the log. Else the given addresses hold, whatever the log
     * says: how a store is reached from here is for this instance's operator to know.
     */
    private readonly followsMembers = false,
  ) {
    this.seeds = addresses;
    this.subscription = new StoreSubscription({
      timers: context.timers,
      report,
      handlers,
      readStores: () => this.stores,
      onMembers: (members) => {
        this.members = members;
        this.connectToAll();
      },
    });
    this.stores = addresses.map((address) => ({ address, client: this.connect(address) }));
  }

  /** Runs a command through the log, resending it until `timeout` milliseconds have passed. */
  async propose(command: StoreCommand, timeout: Milliseconds): Promise<ProposalOutcome> {
    const outcome = await this.ask({ type: 'propose', command }, timeout);
    if (outcome.type !== 'answered') return outcome;
    if (outcome.response.type === 'result') {
      return { type: 'result', result: outcome.response.result };
    }
    return { type: 'unsure' };
  }

  /** Linearizable read of the tables. */
  async readConfiguration(timeout: Milliseconds): Promise<Configuration> {
    const outcome = await this.ask({ type: 'readConfiguration' }, timeout);
    if (outcome.type === 'answered' && outcome.response.type === 'configuration') {
      return outcome.response.configuration;
    }
    throw new HornbeampondError('storeUnavailable', 'No quorum of stores can be reached');
  }

  /** Sends a request that only the leader carries out. */
  async requestFromLeader(request: StoreRequest, timeout: Milliseconds): Promise<StoreResponse> {
    const outcome = await this.ask(request, timeout);
    if (outcome.type === 'answered') return outcome.response;
    return { type: outcome.type, reason: 'no quorum of stores can be reached' };
  }

  /** What each store that answers says of itself. */
  async readStatus(): Promise<StoreStatus[]> {
    const answers = await Promise.all(
      this.stores.map(async ({ client }) => {
        try {
          const request: StoreRequest = { type: 'readStatus' };
          const response = (await client.request(request, STATUS_MILLISECONDS)) as StoreResponse;
          return response.type === 'status' ? [response.status] : [];
        } catch {
          return [];
        }
      }),
    );
    return answers.flat();
  }

  /** Linearizable read of what the operator sent who replaced all tables last. */
  async readDocument(timeout: Milliseconds): Promise<string> {
    const outcome = await this.ask({ type: 'readDocument' }, timeout);
    if (outcome.type === 'answered' && outcome.response.type === 'document') {
      return outcome.response.document;
    }
    throw new HornbeampondError('storeUnavailable', 'No quorum of stores can be reached');
  }

  /** Hands a report to all other entries, by way of every store that is within reach. */
  shareReport(report: EntryReport): void {
    this.tellAll({ type: 'shareReport', report });
  }

  /** Hands the platform's list, as it was just read, to all that subscribe to a store. */
  shareInstances(instances: readonly SharedInstance[]): void {
    this.tellAll({ type: 'shareInstances', instances });
  }

  /** The same for what is told between two reports. */
  shareSpending(spending: SpendingReport): void {
    this.tellAll({ type: 'shareSpending', spending });
  }

  /** Hands on what has changed of this entry's work. */
  shareWork(work: WorkReport): void {
    this.tellAll({ type: 'shareWork', work });
  }

  /** Tells the stores what this instance has in force. */
  updateReport(report: InstanceReport): void {
    this.subscription.report = report;
    this.tellAll({ type: 'report', report });
  }

  /** Takes over the stores that changed settings name. */
  setSeeds(addresses: readonly StoreAddress[]): void {
    this.seeds = addresses;
    this.connectToAll();
  }

  close(): void {
    this.stopped = true;
    this.subscription.stop();
    this.stores.forEach(({ client }) => client.close());
  }

  /** Tells what the next telling repeats, so that a lost one does no harm. */
  private tellAll(request: StoreRequest): void {
    this.stores.forEach((store) => {
      if (!store.client.isOpen) return;
      store.client.request(request, STATUS_MILLISECONDS).then(
        (response) => this.subscription.handleReportResponse(store, response as StoreResponse),
        () => {},
      );
    });
  }

  /**
   * The stores to be connected to beside the seeds. Until members are told, those that are connected
   * are all there is.
   */
  private get wantedMembers(): readonly VoterAddress[] {
    if (!this.followsMembers) return [];
    if (this.members.length > 0) return this.members;
    return this.stores.filter(({ client }) => client.isOpen).map(({ address }) => address);
  }

  /** Connects to stores that have joined, and leaves those that are gone and are no seeds. */
  private connectToAll(): void {
    if (this.stopped) return;
    const members = this.wantedMembers;
    const isAt = (a: VoterAddress) => (b: VoterAddress) => a.host === b.host && a.port === b.port;
    const wanted = [...members, ...this.seeds.filter((seed) => !members.some(isAt(seed)))];
    const before = this.stores;
    this.stores = wanted.map((address) => {
      const known = before.find((store) => isAt(address)(store.address));
      return known ?? { address, client: this.connect(address) };
    });
    before.filter((store) => !this.stores.includes(store)).forEach(({ client }) => client.close());
  }

  private connect(address: StoreAddress): PeerClient {
    return new PeerClient(address, this.context, {
      onOpen: () => this.subscription.subscribeIfNeeded(),
      onPush: (body) => this.subscription.receivePush(address, body as StorePush),
      onClose: () => this.subscription.handleDisconnect(address),
    });
  }

  private async ask(
    request: StoreRequest,
    timeout: Milliseconds,
  ): Promise<
    | { readonly type: 'answered'; readonly response: StoreResponse }
    | { readonly type: 'unavailable' }
    | { readonly type: 'unsure' }
  > {
    const { timers } = this.context;
    const endsAt = timers.monotonicNow() + timeout;
    let everSent = false;
    for (let left = timeout; left > 0 && !this.stopped; left = endsAt - timers.monotonicNow()) {
      const store = this.chooseStore();
      const tried = await this.tryStore(store, request, Math.min(left, ATTEMPT_MILLISECONDS));
      if (tried.type === 'answered') return tried;
      everSent ||= tried.type === 'unsure';
      await timers.wait(Math.min(PAUSE_MILLISECONDS, Math.max(1, left)));
    }
    return { type: everSent ? 'unsure' : 'unavailable' };
  }

  private chooseStore(): StorePeer | undefined {
    const open = this.stores.filter(({ client }) => client.isOpen);
    const leader = open.find(({ address }) => address.instance === this.leader);
    if (leader !== undefined) return leader;
    this.next += 1;
    return open[this.next % Math.max(1, open.length)];
  }

  private async tryStore(
    store: StorePeer | undefined,
    request: StoreRequest,
    timeout: Milliseconds,
  ): Promise<
    | { readonly type: 'answered'; readonly response: StoreResponse }
    | { readonly type: 'notSent' }
    | { readonly type: 'unsure' }
  > {
    if (store === undefined) return { type: 'notSent' };
    try {
      const response = (await store.client.request(request, timeout)) as StoreResponse;
      switch (response.type) {
        case 'notLeader':
          this.leader = response.leader === store.address.instance ? undefined : response.leader;
          return { type: 'notSent' };
        case 'unavailable':
          this.leader = undefined;
          return { type: 'notSent' };
        case 'unsure':
          this.leader = undefined;
          return { type: 'unsure' };
        default:
          this.leader = store.address.instance;
          return { type: 'answered', response };
      }
    } catch (error) {
      this.leader = undefined;
      const sent = error instanceof PeerRequestError ? error.sent : 'maybe';
      return { type: sent === 'nothing' ? 'notSent' : 'unsure' };
    }
  }
}
