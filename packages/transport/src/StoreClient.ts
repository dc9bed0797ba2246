/**
 * Client of the stores for all processes that use them. It finds the leader, resends requests until
 * they are answered or time out, sends reports to all reachable stores, keeps a subscription to one
 * store, and keeps connections to the configured stores or to all members of the log.
 */
import { HornbeampondError } from '@hornbeampond/schema';
import type {
  CommandResult,
  Configuration,
  EpochMilliseconds,
  EntryReport,
  InstanceReport,
  Milliseconds,
  SharedInstance,
  SpendingReport,
  ProcessAddress,
  StoreCommand,
  StorePush,
  StoreRequest,
  StoreResponse,
  StoreStatus,
  StreamOrigin,
  VersionHistoryMessage,
  VoterAddress,
  WorkReport,
} from '@hornbeampond/schema';
import { DigestAgeWatch } from './DigestAgeWatch.js';
import { chooseOriginStores, ORIGIN_COPIES } from './chooseOriginStores.js';
import { encodeSharedBody, encodeUnansweredRequest } from './FrameCodec.js';
import { PeerClient, PeerRequestError } from './PeerClient.js';
import type { PeerContext } from './PeerConnection.js';
import { classifyRequestError, classifyStoreResponse, RequestAttempts } from './RequestAttempts.js';
import {
  StoreSubscription,
  type StoreClientHandlers,
  type StorePeer,
} from './StoreSubscription.js';

/** Outcome of a proposal. */
export type ProposalOutcome =
  | { readonly type: 'result'; readonly result: CommandResult }
  /** The command is provably in no log and will not be added to one. */
  | { readonly type: 'unavailable' }
  /** The command may be in the log; resend it with the same intent to find out. */
  | { readonly type: 'unsure' };

/** After this time without an answer another store is tried. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 1500;
const RETRY_DELAY_MILLISECONDS = 40;
const BROADCAST_TIMEOUT_MILLISECONDS = 1000;

const MILLISECONDS_PER_SECOND = 1000;

interface StoreConnection extends StorePeer {
  readonly client: PeerClient;
  /** What the store has said on this connection; one of an older version says nothing. */
  readonly abilities: { keepsStreamOrigins: boolean };
}

export interface OriginAnswer {
  readonly origin: StreamOrigin | undefined;
  /** False if a store that has not answered may know the origin. */
  readonly isConclusive: boolean;
  /** The versions that the stores have recorded which answered that they do not know it. */
  readonly histories: readonly VersionHistoryMessage[];
}

/** The stores that have answered a question for an origin, and what they said instead of it. */
interface OriginSearch {
  readonly requestId: string;
  readonly answered: Set<StoreConnection>;
  readonly histories: VersionHistoryMessage[];
}

export class StoreClient {
  private stores: StoreConnection[];

  private seeds: readonly ProcessAddress[];

  /** Members of the log as last received from a store; empty before that. */
  private members: readonly VoterAddress[] = [];

  private leaderInstance: string | undefined;

  private roundRobinCounter = 0;

  private readonly subscription: StoreSubscription;

  private readonly digestAgeWatch = new DigestAgeWatch();

  private isClosed = false;

  constructor(
    addresses: readonly ProcessAddress[],
    private readonly context: PeerContext,
    private readonly handlers: StoreClientHandlers = {},
    report?: InstanceReport,
    /**
     * True to connect to all members of the log. Otherwise only the given addresses are used: the
     * operator of this instance configures how stores are reached from here.
     */
    private readonly connectsToAllMembers = false,
  ) {
    this.seeds = addresses;
    this.subscription = new StoreSubscription({
      timers: context.timers,
      report,
      handlers,
      readStores: () => this.stores,
      onDigestGap: (gap) => context.logger.write('entryDigestLost', { ...gap }),
      onSubscribed: (outcome) => context.logger.write('storeSubscribed', { ...outcome }),
      onSubscriptionFailed: (outcome) =>
        context.logger.write('storeSubscriptionFailed', { ...outcome }),
      onDigestAge: (store, age) => this.recordDigestAge(store, age),
      onSilentStore: (store) => context.logger.write('storeSilent', { store }),
      onMembers: (members) => {
        this.members = members;
        this.updateConnections();
      },
    });
    this.stores = addresses.map((address) => this.connect(address));
  }

  /**
   * Runs a command through the log; resends it until it is answered or `timeout` has passed.
   *
   * @param attempts - Records how the attempts end, here and in the other linearizable calls.
   */
  async propose(
    command: StoreCommand,
    timeout: Milliseconds,
    attempts?: RequestAttempts,
  ): Promise<ProposalOutcome> {
    const outcome = await this.requestWithRetries({ type: 'propose', command }, timeout, attempts);
    if (outcome.type !== 'answered') return outcome;
    if (outcome.response.type === 'result') {
      return { type: 'result', result: outcome.response.result };
    }
    return { type: 'unsure' };
  }

  /** Reads the tables, linearizably. */
  async readConfiguration(
    timeout: Milliseconds,
    attempts?: RequestAttempts,
  ): Promise<Configuration> {
    const outcome = await this.requestWithRetries({ type: 'readConfiguration' }, timeout, attempts);
    if (outcome.type === 'answered' && outcome.response.type === 'configuration') {
      return outcome.response.configuration;
    }
    throw new HornbeampondError('storeUnavailable', 'No quorum of stores can be reached');
  }

  /** Sends a request that only the leader executes. */
  async requestFromLeader(request: StoreRequest, timeout: Milliseconds): Promise<StoreResponse> {
    const outcome = await this.requestWithRetries(request, timeout);
    if (outcome.type === 'answered') return outcome.response;
    return { type: outcome.type, reason: 'no quorum of stores can be reached' };
  }

  /** Reads the status of all stores; those that do not answer are left out. */
  async readStatus(): Promise<StoreStatus[]> {
    const answers = await Promise.all(
      this.stores.map(async ({ client }) => {
        try {
          const request: StoreRequest = { type: 'readStatus' };
          const response = (await client.request(
            request,
            BROADCAST_TIMEOUT_MILLISECONDS,
          )) as StoreResponse;
          return response.type === 'status' ? [response.status] : [];
        } catch {
          return [];
        }
      }),
    );
    return answers.flat();
  }

  /** Reads the document with which an operator last replaced all tables, linearizably. */
  async readDocument(timeout: Milliseconds, attempts?: RequestAttempts): Promise<string> {
    const outcome = await this.requestWithRetries({ type: 'readDocument' }, timeout, attempts);
    if (outcome.type === 'answered' && outcome.response.type === 'document') {
      return outcome.response.document;
    }
    throw new HornbeampondError('storeUnavailable', 'No quorum of stores can be reached');
  }

  /**
   * Sends the report of an entry to all other entries, through every reachable store.
   *
   * @param onAcknowledged - Called once the first store has received it.
   */
  shareReport(report: EntryReport, onAcknowledged: () => void): void {
    this.sendToAll({ type: 'shareReport', report }, onAcknowledged);
  }

  /**
   * Sends the instance list, as just read from the platform, to all subscribers of the stores.
   *
   * @param readAt - When the platform was asked for it.
   */
  shareInstances(instances: readonly SharedInstance[], readAt: EpochMilliseconds): void {
    this.sendToAll({ type: 'shareInstances', instances, readAt });
  }

  /**
   * Sends the spending of this entry, between two reports, to all other entries.
   *
   * @param onAcknowledged - Called once the first store has received it.
   */
  shareSpending(spending: SpendingReport, onAcknowledged: () => void): void {
    this.sendToAll({ type: 'shareSpending', spending }, onAcknowledged);
  }

  /** Sends the changes in the work of this entry to all other entries. */
  shareWork(work: WorkReport): void {
    const request: StoreRequest = { type: 'shareWork', work };
    const frame = encodeUnansweredRequest(request);
    this.stores.forEach(({ client }) => client.sendFrame(frame));
  }

  /**
   * Tells two stores where streams began. They are told once: if both are lost, the entry that
   * relayed a stream still knows its origin.
   */
  shareStreamOrigins(origins: readonly StreamOrigin[]): void {
    const stores = this.listOriginStores();
    const originsByStore = new Map<StoreConnection, StreamOrigin[]>();
    origins.forEach((origin) =>
      chooseOriginStores(stores, origin).forEach((store) => {
        const chosen = originsByStore.get(store);
        if (chosen === undefined) originsByStore.set(store, [origin]);
        else chosen.push(origin);
      }),
    );
    originsByStore.forEach((chosen, { client }) => {
      const request: StoreRequest = { type: 'shareStreamOrigins', origins: chosen };
      client.sendFrame(encodeUnansweredRequest(request));
    });
  }

  /**
   * Asks all stores where a stream began, for at most `timeout`. A store that cannot be reached now,
   * because its connection has just been reset, is asked as soon as it can be.
   */
  async findStreamOrigin(requestId: string, timeout: Milliseconds): Promise<OriginAnswer> {
    const { timers } = this.context;
    const endsAt = timers.monotonicNow() + timeout;
    const search: OriginSearch = { requestId, answered: new Set(), histories: [] };
    const { answered, histories } = search;
    for (
      let timeLeft = timeout;
      timeLeft > 0 && !this.isClosed;
      timeLeft = endsAt - timers.monotonicNow()
    ) {
      const asked = this.listOriginStores().filter((store) => !answered.has(store));
      const origin = await StoreClient.askForOrigin(search, asked, timeLeft);
      if (origin !== undefined) return { origin, isConclusive: true, histories };
      // With one copy at a store that has not answered, the other copy would have been found.
      const copies = Math.min(ORIGIN_COPIES, this.stores.length);
      if (this.stores.length - answered.size < copies) {
        return { origin: undefined, isConclusive: true, histories };
      }
      await timers.wait(Math.min(RETRY_DELAY_MILLISECONDS, timeLeft));
    }
    return { origin: undefined, isConclusive: false, histories };
  }

  /** Sends the report of this instance to the stores, and with later subscriptions. */
  updateReport(report: InstanceReport): void {
    this.subscription.report = report;
    this.sendToAll({ type: 'report', report });
  }

  /** Replaces the configured store addresses after a change of settings. */
  setSeeds(addresses: readonly ProcessAddress[]): void {
    this.seeds = addresses;
    this.updateConnections();
  }

  close(): void {
    this.isClosed = true;
    this.subscription.stop();
    this.stores.forEach(({ client }) => client.close());
  }

  private recordDigestAge(store: string, age: Milliseconds): void {
    const { logger, metrics } = this.context;
    metrics?.setGauge('digestAge', age / MILLISECONDS_PER_SECOND);
    const change = this.digestAgeWatch.record(age);
    if (change === 'late') logger.write('digestsLate', { store, age });
    if (change === 'inTime') logger.write('digestsInTime', { store, age });
  }

  /** Sends a request to all connected stores, without retries: later reports repeat lost ones. */
  private sendToAll(request: StoreRequest, onAcknowledged: () => void = () => {}): void {
    const body = encodeSharedBody(request);
    let isAcknowledged = false;
    this.stores.forEach((store) => {
      if (!store.client.isOpen) return;
      store.client.requestEncoded(body, BROADCAST_TIMEOUT_MILLISECONDS).then(
        (response) => {
          this.receiveReportResponse(store, response as StoreResponse);
          if (isAcknowledged || (response as StoreResponse).type !== 'accepted') return;
          isAcknowledged = true;
          onAcknowledged();
        },
        () => {},
      );
    });
  }

  private receiveReportResponse(store: StoreConnection, response: StoreResponse): void {
    this.subscription.handleReportResponse(store, response);
    if (response.type !== 'accepted' || response.keepsStreamOrigins !== true) return;
    if (store.abilities.keepsStreamOrigins) return;
    store.abilities.keepsStreamOrigins = true;
    this.handlers.onOriginStores?.();
  }

  /** Resolves with the first origin, or with undefined once no store that is asked can say more. */
  private static async askForOrigin(
    { requestId, answered, histories }: OriginSearch,
    stores: readonly StoreConnection[],
    timeout: Milliseconds,
  ): Promise<StreamOrigin | undefined> {
    const request: StoreRequest = { type: 'findStreamOrigin', requestId };
    const body = encodeSharedBody(request);
    const answers = stores.map(async (store) => {
      const response = (await store.client.requestEncoded(body, timeout)) as StoreResponse;
      answered.add(store);
      if (response.type === 'streamOrigin' && response.origin !== undefined) return response.origin;
      if (response.type === 'streamOrigin' && response.history !== undefined) {
        histories.push(response.history);
      }
      throw new Error('the store does not know the origin');
    });
    return Promise.any(answers).catch(() => undefined);
  }

  private listOriginStores(): StoreConnection[] {
    return this.stores.filter(
      ({ client, abilities }) => abilities.keepsStreamOrigins && client.isOpen,
    );
  }

  /** Reports to a store that has just been connected, whose answer says what it keeps. */
  private reportTo(address: ProcessAddress): void {
    const { report } = this.subscription;
    const store = this.stores.find((known) => known.address === address);
    if (this.handlers.onOriginStores === undefined || report === undefined) return;
    if (store === undefined) return;
    const request: StoreRequest = { type: 'report', report };
    store.client.request(request, BROADCAST_TIMEOUT_MILLISECONDS).then(
      (response) => this.receiveReportResponse(store, response as StoreResponse),
      () => {},
    );
  }

  /**
   * The stores to connect to in addition to the seeds. Until the members of the log are received,
   * the stores that are connected now are kept.
   */
  private get membersToConnect(): readonly VoterAddress[] {
    if (!this.connectsToAllMembers) return [];
    if (this.members.length > 0) return this.members;
    return this.stores.filter(({ client }) => client.isOpen).map(({ address }) => address);
  }

  /** Connects to new members and seeds, and disconnects from stores that are neither any more. */
  private updateConnections(): void {
    if (this.isClosed) return;
    const members = this.membersToConnect;
    const isSameAddress = (a: VoterAddress) => (b: VoterAddress) =>
      a.host === b.host && a.port === b.port;
    const addressesToConnect = [
      ...members,
      ...this.seeds.filter((seed) => !members.some(isSameAddress(seed))),
    ];
    const previousStores = this.stores;
    this.stores = addressesToConnect.map((address) => {
      const existing = previousStores.find((store) => isSameAddress(address)(store.address));
      return existing ?? this.connect(address);
    });
    previousStores
      .filter((store) => !this.stores.includes(store))
      .forEach(({ client }) => client.close());
  }

  private connect(address: ProcessAddress): StoreConnection {
    const abilities = { keepsStreamOrigins: false };
    const client = new PeerClient(address, this.context, {
      onOpen: () => {
        this.subscription.subscribeIfNeeded();
        this.reportTo(address);
      },
      onPush: (body) => this.subscription.receivePush(address, body as StorePush),
      onClose: () => {
        const { keepsStreamOrigins } = abilities;
        abilities.keepsStreamOrigins = false;
        this.subscription.handleDisconnect(address);
        // The copies that it had are made again at the stores that are left.
        if (keepsStreamOrigins && !this.isClosed) this.handlers.onOriginStores?.();
      },
    });
    return { address, client, abilities };
  }

  private async requestWithRetries(
    request: StoreRequest,
    timeout: Milliseconds,
    attempts = new RequestAttempts(this.context.timers),
  ): Promise<
    | { readonly type: 'answered'; readonly response: StoreResponse }
    | { readonly type: 'unavailable' }
    | { readonly type: 'unsure' }
  > {
    const { timers } = this.context;
    const deadline = timers.monotonicNow() + timeout;
    let mayHaveBeenSent = false;
    for (
      let remaining = timeout;
      remaining > 0 && !this.isClosed;
      remaining = deadline - timers.monotonicNow()
    ) {
      const store = this.chooseStore();
      const open = this.stores.filter(({ client }) => client.isOpen).length;
      attempts.recordConnections(open, this.stores.length);
      const attempt = await this.tryStore(
        store,
        request,
        Math.min(remaining, ATTEMPT_TIMEOUT_MILLISECONDS),
        attempts,
      );
      if (attempt.type === 'answered') return attempt;
      mayHaveBeenSent ||= attempt.type === 'unsure';
      await timers.wait(Math.min(RETRY_DELAY_MILLISECONDS, Math.max(1, remaining)));
    }
    return { type: mayHaveBeenSent ? 'unsure' : 'unavailable' };
  }

  private chooseStore(): StoreConnection | undefined {
    const open = this.stores.filter(({ client }) => client.isOpen);
    const leader = open.find(({ address }) => address.instance === this.leaderInstance);
    if (leader !== undefined) return leader;
    this.roundRobinCounter += 1;
    return open[this.roundRobinCounter % Math.max(1, open.length)];
  }

  private async tryStore(
    store: StoreConnection | undefined,
    request: StoreRequest,
    timeout: Milliseconds,
    attempts: RequestAttempts,
  ): Promise<
    | { readonly type: 'answered'; readonly response: StoreResponse }
    | { readonly type: 'notSent' }
    | { readonly type: 'unsure' }
  > {
    if (store === undefined) return { type: 'notSent' };
    const { instance } = store.address;
    try {
      const response = (await store.client.request(request, timeout)) as StoreResponse;
      const answer = classifyStoreResponse(response);
      if (answer !== undefined) attempts.recordAnswer(instance, answer);
      switch (response.type) {
        case 'notLeader':
          this.leaderInstance =
            response.leader === store.address.instance ? undefined : response.leader;
          return { type: 'notSent' };
        case 'unavailable':
          this.leaderInstance = undefined;
          return { type: 'notSent' };
        case 'unsure':
          this.leaderInstance = undefined;
          return { type: 'unsure' };
        default:
          this.leaderInstance = store.address.instance;
          return { type: 'answered', response };
      }
    } catch (error) {
      this.leaderInstance = undefined;
      attempts.recordAnswer(instance, classifyRequestError(error));
      const sent = error instanceof PeerRequestError ? error.sent : 'maybe';
      return { type: sent === 'nothing' ? 'notSent' : 'unsure' };
    }
  }
}
