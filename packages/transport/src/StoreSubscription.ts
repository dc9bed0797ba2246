/**
 * Which store tells a process of new configurations, and when the process moves to another one.
 *
 * One store at a time is subscribed to. It may have been cut off from the others without knowing
 * it yet, or have come back and be behind: its subscribers would serve by tables that operators
 * have replaced, and refuse routes and keys that have long been in force elsewhere. So each store
 * that answers a report says which revision it holds, and a process that stays behind what any of
 * them holds moves there. One answer of one store that is up to date is enough, since revisions
 * only grow and are told only once a quorum has them.
 */
import type {
  Configuration,
  EntryReport,
  EntryUsage,
  Milliseconds,
  PersistedEntryData,
  SharedInstance,
  SpendingReport,
  InstanceReport,
  QuarantineRecord,
  StoreAddress,
  StorePush,
  StoreResponse,
  VoterAddress,
  WorkReport,
} from '@hornbeampond/schema';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import { InstanceListFollower } from './InstanceListFollower.js';
import { ConfigurationFollower, type ConfigurationUpdateResult } from './ConfigurationFollower.js';
import type { PeerClient } from './PeerClient.js';

export interface StoreClientHandlers {
  onConfiguration?(configuration: Configuration): void;
  onQuarantine?(quarantine: readonly QuarantineRecord[]): void;
  onEntryReport?(report: EntryReport): void;
  onUsage?(usage: readonly EntryUsage[]): void;
  onWorkReport?(work: WorkReport): void;
  onSpendingReport?(spending: SpendingReport): void;
  /** A reading of the platform's list that another process has made, and its age. */
  onInstanceList?(instances: readonly SharedInstance[], age: Milliseconds): void;
  /** What starting entries may learn from a store. */
  onPersistedState?(remembered: PersistedEntryData): void;
}

export interface StorePeer {
  readonly address: StoreAddress;
  readonly client: Pick<PeerClient, 'isOpen' | 'request' | 'close'>;
}

export interface StoreSubscriptionOptions {
  readonly timers: TimerService;
  /** What the process says of itself; one that says nothing subscribes to nothing. */
  readonly report: InstanceReport | undefined;
  readonly handlers: StoreClientHandlers;
  readStores(): readonly StorePeer[];
  /** Told the members of the log. */
  onMembers(members: readonly VoterAddress[]): void;
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
  readonly earlyPushes: StorePush[];
}

const SUBSCRIBE_TIMEOUT_MILLISECONDS: Milliseconds = 1500;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 40;

/**
 * Stores apply a change within a few milliseconds of each other; after this long the one that is
 * subscribed to is behind for another reason. With the second between two reports it leaves more
 * than half of the two seconds within which a change has to be in force.
 */
const MAX_LAG_MILLISECONDS: Milliseconds = 250;

export class StoreSubscription {
  report: InstanceReport | undefined;

  private readonly configurationFollower = new ConfigurationFollower();

  private readonly instanceListFollower = new InstanceListFollower();

  private subscription: Subscription | undefined;

  private cancelSwitch: Unsubscribe | undefined;

  /** Stores that did not answer a subscription, until all have been tried. */
  private readonly failedStores = new Set<StorePeer>();

  private roundRobinCounter = 0;

  private isStopped = false;

  constructor(private readonly options: StoreSubscriptionOptions) {
    this.report = options.report;
  }

  stop(): void {
    this.isStopped = true;
    this.cancelSwitch?.();
  }

  /** A store of the own data centre is preferred: it stays reachable when others are cut off. */
  subscribeIfNeeded(): void {
    const { report } = this;
    if (report === undefined || this.isStopped || this.subscription !== undefined) return;
    if (this.openStores.every((store) => this.failedStores.has(store))) this.failedStores.clear();
    const candidates = this.openStores.filter((store) => !this.failedStores.has(store));
    const store =
      candidates.find(({ address }) => address.dataCentre === report.dataCentre) ?? candidates[0];
    if (store !== undefined) this.subscribe(store, report);
  }

  /** Takes in a push of the store at this address. */
  receivePush(address: StoreAddress, push: StorePush): void {
    const { subscription } = this;
    if (subscription?.store.address !== address) return;
    if (subscription.isAnswered) this.handlePush(push);
    else subscription.earlyPushes.push(push);
  }

  /** The connection to the store at this address is lost. */
  handleDisconnect(address: StoreAddress): void {
    if (this.subscription?.store.address !== address) return;
    this.subscription = undefined;
    this.subscribeIfNeeded();
  }

  /** Compares what a store says it holds with what is held here. */
  handleReportResponse(store: StorePeer, response: StoreResponse): void {
    if (response.type !== 'accepted' || response.revision === undefined) return;
    const { revision } = response;
    if (this.cancelSwitch !== undefined || this.hasRevision(revision)) return;
    this.cancelSwitch = this.options.timers.after(MAX_LAG_MILLISECONDS, () => {
      this.cancelSwitch = undefined;
      const { report } = this;
      if (this.isStopped || report === undefined || this.hasRevision(revision)) return;
      if (store.client.isOpen) this.subscribe(store, report);
    });
  }

  private get openStores(): StorePeer[] {
    return this.options.readStores().filter(({ client }) => client.isOpen);
  }

  private hasRevision(revision: number): boolean {
    return (this.configurationFollower.newest?.revision ?? 0) >= revision;
  }

  private subscribe(store: StorePeer, report: InstanceReport): void {
    const subscription: Subscription = { store, isAnswered: false, earlyPushes: [] };
    this.subscription = subscription;
    store.client.request({ type: 'subscribe', report }, SUBSCRIBE_TIMEOUT_MILLISECONDS).then(
      (response) => {
        if (this.subscription === subscription) {
          this.handleSubscribeResponse(subscription, response as StoreResponse);
        }
      },
      () => {
        if (this.subscription !== subscription) return;
        this.subscription = undefined;
        this.failedStores.add(store);
        this.options.timers.after(RETRY_DELAY_MILLISECONDS, () => this.subscribeIfNeeded());
      },
    );
  }

  private handleSubscribeResponse(subscription: Subscription, response: StoreResponse): void {
    if (response.type !== 'subscribed') return;
    subscription.isAnswered = true;
    this.failedStores.clear();
    this.resetInstanceList(response);
    // Ahead of the configuration: with that the requests that have waited for it are admitted.
    this.options.handlers.onPersistedState?.(response.remembered);
    this.handleUpdateResult(this.configurationFollower.applyConfiguration(response.configuration));
    this.options.handlers.onQuarantine?.(response.quarantine);
    this.options.onMembers(response.stores);
    subscription.earlyPushes.forEach((push) => this.handlePush(push));
  }

  private resetInstanceList({
    instances,
    instancesAge = 0,
  }: Extract<StoreResponse, { type: 'subscribed' }>): void {
    this.instanceListFollower.reset(instances);
    if (instances !== undefined) this.options.handlers.onInstanceList?.(instances, instancesAge);
  }

  private handlePush(push: StorePush): void {
    const { handlers, onMembers } = this.options;
    switch (push.type) {
      case 'configuration':
        this.handleUpdateResult(this.configurationFollower.applyConfiguration(push.configuration));
        return;
      case 'configurationDelta':
        this.handleUpdateResult(this.configurationFollower.applyConfigurationDelta(push.delta));
        return;
      case 'quarantine':
        handlers.onQuarantine?.(push.quarantine);
        return;
      case 'stores':
        onMembers(push.stores);
        return;
      case 'entryReport':
        handlers.onEntryReport?.(push.report);
        return;
      case 'instances':
        handlers.onInstanceList?.(this.instanceListFollower.applyDelta(push), 0);
        return;
      case 'work':
        push.reports.forEach((report) => handlers.onWorkReport?.(report));
        return;
      case 'usage':
        handlers.onUsage?.(push.usage);
        return;
      case 'spending':
        handlers.onSpendingReport?.(push.spending);
        return;
      default:
        this.switchStore();
    }
  }

  /** Moves to another store, if one is within reach; it may be out of touch as well, and say so. */
  private switchStore(): void {
    const { report, subscription } = this;
    if (report === undefined || subscription === undefined) return;
    const otherStores = this.openStores.filter((store) => store !== subscription.store);
    this.roundRobinCounter += 1;
    const store = otherStores[this.roundRobinCounter % Math.max(1, otherStores.length)];
    if (store !== undefined) this.subscribe(store, report);
  }

  /** Hands on what is newer; after a gap it asks the same store for all of it. */
  private handleUpdateResult(result: ConfigurationUpdateResult): void {
    const { newest } = this.configurationFollower;
    if (result === 'newer' && newest !== undefined) {
      this.options.handlers.onConfiguration?.(newest);
    }
    const { report, subscription } = this;
    if (result !== 'gap' || report === undefined || subscription === undefined) return;
    // Pushes behind the gap wait for the answer.
    if (subscription.isAnswered) this.subscribe(subscription.store, report);
  }
}
