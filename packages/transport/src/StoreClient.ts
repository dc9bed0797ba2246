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
  QuarantineEntry,
  StoreAddress,
  StoreCommand,
  StorePush,
  StoreRequest,
  StoreResponse,
  StoreStatus,
  VoterAddress,
} from '@hornbeampond/schema';
import { ConfigurationFollower, type FollowResult } from './ConfigurationFollower.js';
import { PeerClient, PeerRequestError } from './PeerClient.js';
import type { PeerContext } from './PeerConnection.js';

/** How a proposal ended. */
export type ProposalOutcome =
  | { readonly type: 'result'; readonly result: CommandResult }
  /** The command is provably in no log and will not get into one. */
  | { readonly type: 'unavailable' }
  /** The command may be in the log; resend it under the same intent to learn. */
  | { readonly type: 'unsure' };

export interface StoreClientHandlers {
  onConfiguration?(configuration: Configuration): void;
  onQuarantine?(quarantine: readonly QuarantineEntry[]): void;
  onEntryReport?(report: EntryReport): void;
}

/** A store that does not answer within this span is passed over for another. */
const ATTEMPT_MILLISECONDS = 1500;
const PAUSE_MILLISECONDS = 40;
const STATUS_MILLISECONDS = 1000;

interface StorePeer {
  readonly address: StoreAddress;
  readonly client: PeerClient;
}

/** What one store is asked to send. */
interface Subscription {
  readonly store: StorePeer;
  /** True once the store has answered with what it holds. */
  isAnswered: boolean;
  /**
   * Pushes that came with the answer in one read of the socket and are seen before it. Taken at
   * once they would not join to what is held.
   */
  readonly early: StorePush[];
}

export class StoreClient {
  private stores: StorePeer[];

  private readonly seeds: readonly StoreAddress[];

  private leader: string | undefined;

  private next = 0;

  private subscription: Subscription | undefined;

  private readonly follower = new ConfigurationFollower();

  private stopped = false;

  constructor(
    addresses: readonly StoreAddress[],
    private readonly context: PeerContext,
    private readonly handlers: StoreClientHandlers = {},
    private report?: InstanceReport,
    /**
     * True to connect to all members of the log. Else the given addresses hold, whatever the log
     * says: how a store is reached from here is for this instance's operator to know.
     */
    private readonly followsMembers = false,
  ) {
    this.seeds = addresses;
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
  async askLeader(request: StoreRequest, timeout: Milliseconds): Promise<StoreResponse> {
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

  /** Tells the stores what this instance has in force. */
  updateReport(report: InstanceReport): void {
    this.report = report;
    this.tellAll({ type: 'report', report });
  }

  close(): void {
    this.stopped = true;
    this.stores.forEach(({ client }) => client.close());
  }

  /** Tells what the next telling repeats, so that a lost one does no harm. */
  private tellAll(request: StoreRequest): void {
    this.stores.forEach(({ client }) => {
      if (client.isOpen) client.request(request, STATUS_MILLISECONDS).catch(() => {});
    });
  }

  /** Connects to stores that have joined, and leaves those that are gone and are no seeds. */
  private keepStores(members: readonly VoterAddress[]): void {
    if (!this.followsMembers || this.stopped || members.length === 0) return;
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
      onOpen: () => this.subscribeIfNeeded(),
      onPush: (body) => {
        const { subscription } = this;
        if (subscription?.store.address !== address) return;
        if (subscription.isAnswered) this.take(body as StorePush);
        else subscription.early.push(body as StorePush);
      },
      onClose: () => {
        if (this.subscription?.store.address !== address) return;
        this.subscription = undefined;
        this.subscribeIfNeeded();
      },
    });
  }

  /** A store of the own data centre is preferred: it stays reachable when others are cut off. */
  private subscribeIfNeeded(): void {
    const { report } = this;
    if (report === undefined || this.stopped || this.subscription !== undefined) return;
    const open = this.stores.filter(({ client }) => client.isOpen);
    const store = open.find(({ address }) => address.dataCentre === report.dataCentre) ?? open[0];
    if (store !== undefined) this.subscribe(store, report);
  }

  private subscribe(store: StorePeer, report: InstanceReport): void {
    const subscription: Subscription = { store, isAnswered: false, early: [] };
    this.subscription = subscription;
    store.client.request({ type: 'subscribe', report }, ATTEMPT_MILLISECONDS).then(
      (response) => {
        if (this.subscription === subscription) {
          this.acceptSubscription(subscription, response as StoreResponse);
        }
      },
      () => {
        if (this.subscription !== subscription) return;
        this.subscription = undefined;
        this.context.timers.after(PAUSE_MILLISECONDS, () => this.subscribeIfNeeded());
      },
    );
  }

  private acceptSubscription(subscription: Subscription, response: StoreResponse): void {
    if (response.type !== 'subscribed') return;
    subscription.isAnswered = true;
    this.note(this.follower.takeWhole(response.configuration));
    this.handlers.onQuarantine?.(response.quarantine);
    this.keepStores(response.stores);
    subscription.early.forEach((push) => this.take(push));
  }

  private take(push: StorePush): void {
    switch (push.type) {
      case 'configuration':
        this.note(this.follower.takeWhole(push.configuration));
        return;
      case 'configurationDelta':
        this.note(this.follower.takeDelta(push.delta));
        return;
      case 'quarantine':
        this.handlers.onQuarantine?.(push.quarantine);
        return;
      case 'stores':
        this.keepStores(push.stores);
        return;
      case 'entryReport':
        this.handlers.onEntryReport?.(push.report);
        return;
      default:
        this.leaveOutOfTouch();
    }
  }

  /** Moves to another store, if one is within reach; it may be out of touch as well, and say so. */
  private leaveOutOfTouch(): void {
    const { report, subscription } = this;
    if (report === undefined || subscription === undefined) return;
    const others = this.stores.filter(
      (store) => store !== subscription.store && store.client.isOpen,
    );
    this.next += 1;
    const store = others[this.next % Math.max(1, others.length)];
    if (store !== undefined) this.subscribe(store, report);
  }

  /** Hands on what is newer; after a gap it asks the same store for all of it. */
  private note(result: FollowResult): void {
    const { newest } = this.follower;
    if (result === 'newer' && newest !== undefined) this.handlers.onConfiguration?.(newest);
    const { report, subscription } = this;
    if (result !== 'gap' || report === undefined || subscription === undefined) return;
    // Pushes behind the gap wait for the answer.
    if (subscription.isAnswered) this.subscribe(subscription.store, report);
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
