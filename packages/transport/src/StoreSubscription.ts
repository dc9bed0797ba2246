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
  readonly early: StorePush[];
}

const SUBSCRIBE_MILLISECONDS: Milliseconds = 1500;
const PAUSE_MILLISECONDS: Milliseconds = 40;

/**
 * Stores apply a change within a few milliseconds of each other; after this long the one that is
 * subscribed to is behind for another reason. With the second between two reports it leaves more
 * than half of the two seconds within which a change has to be in force.
 */
const BEHIND_MILLISECONDS: Milliseconds = 250;

export class StoreSubscription {
  report: InstanceReport | undefined;

  private readonly follower = new ConfigurationFollower();

  private readonly instances = new InstanceListFollower();

  private subscription: Subscription | undefined;

  private cancelMove: Unsubscribe | undefined;

  /** Stores that did not answer a subscription, until all have been tried. */
  private readonly passedOver = new Set<StorePeer>();

  private next = 0;

  private stopped = false;

  constructor(private readonly options: StoreSubscriptionOptions) {
    this.report = options.report;
  }

  stop(): void {
    this.stopped = true;
    this.cancelMove?.();
  }

  /** A store of the own data centre is preferred: it stays reachable when others are cut off. */
  subscribeIfNeeded(): void {
    const { report } = this;
    if (report === undefined || this.stopped || this.subscription !== undefined) return;
    if (this.openStores.every((store) => this.passedOver.has(store))) this.passedOver.clear();
    const open = this.openStores.filter((store) => !this.passedOver.has(store));
    const store = open.find(({ address }) => address.dataCentre === report.dataCentre) ?? open[0];
    if (store !== undefined) this.subscribe(store, report);
  }

  /** Takes in a push of the store at this address. */
  receivePush(address: StoreAddress, push: StorePush): void {
    const { subscription } = this;
    if (subscription?.store.address !== address) return;
    if (subscription.isAnswered) this.take(push);
    else subscription.early.push(push);
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
    if (this.cancelMove !== undefined || this.holds(revision)) return;
    this.cancelMove = this.options.timers.after(BEHIND_MILLISECONDS, () => {
      this.cancelMove = undefined;
      const { report } = this;
      if (this.stopped || report === undefined || this.holds(revision)) return;
      if (store.client.isOpen) this.subscribe(store, report);
    });
  }

  private get openStores(): StorePeer[] {
    return this.options.readStores().filter(({ client }) => client.isOpen);
  }

  private holds(revision: number): boolean {
    return (this.follower.newest?.revision ?? 0) >= revision;
  }

  private subscribe(store: StorePeer, report: InstanceReport): void {
    const subscription: Subscription = { store, isAnswered: false, early: [] };
    this.subscription = subscription;
    store.client.request({ type: 'subscribe', report }, SUBSCRIBE_MILLISECONDS).then(
      (response) => {
        if (this.subscription === subscription) {
          this.acceptSubscription(subscription, response as StoreResponse);
        }
      },
      () => {
        if (this.subscription !== subscription) return;
        this.subscription = undefined;
        this.passedOver.add(store);
        this.options.timers.after(PAUSE_MILLISECONDS, () => this.subscribeIfNeeded());
      },
    );
  }

  private acceptSubscription(subscription: Subscription, response: StoreResponse): void {
    if (response.type !== 'subscribed') return;
    subscription.isAnswered = true;
    this.passedOver.clear();
    this.takeInstances(response);
    // Ahead of the configuration: with that the requests that have waited for it are admitted.
    this.options.handlers.onPersistedState?.(response.remembered);
    this.note(this.follower.applyConfiguration(response.configuration));
    this.options.handlers.onQuarantine?.(response.quarantine);
    this.options.onMembers(response.stores);
    subscription.early.forEach((push) => this.take(push));
  }

  private takeInstances({
    instances,
    instancesAge = 0,
  }: Extract<StoreResponse, { type: 'subscribed' }>): void {
    this.instances.reset(instances);
    if (instances !== undefined) this.options.handlers.onInstanceList?.(instances, instancesAge);
  }

  private take(push: StorePush): void {
    const { handlers, onMembers: onStores } = this.options;
    switch (push.type) {
      case 'configuration':
        this.note(this.follower.applyConfiguration(push.configuration));
        return;
      case 'configurationDelta':
        this.note(this.follower.applyConfigurationDelta(push.delta));
        return;
      case 'quarantine':
        handlers.onQuarantine?.(push.quarantine);
        return;
      case 'stores':
        onStores(push.stores);
        return;
      case 'entryReport':
        handlers.onEntryReport?.(push.report);
        return;
      case 'instances':
        handlers.onInstanceList?.(this.instances.applyDelta(push), 0);
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
        this.leaveOutOfTouch();
    }
  }

  /** Moves to another store, if one is within reach; it may be out of touch as well, and say so. */
  private leaveOutOfTouch(): void {
    const { report, subscription } = this;
    if (report === undefined || subscription === undefined) return;
    const others = this.openStores.filter((store) => store !== subscription.store);
    this.next += 1;
    const store = others[this.next % Math.max(1, others.length)];
    if (store !== undefined) this.subscribe(store, report);
  }

  /** Hands on what is newer; after a gap it asks the same store for all of it. */
  private note(result: ConfigurationUpdateResult): void {
    const { newest } = this.follower;
    if (result === 'newer' && newest !== undefined) {
      this.options.handlers.onConfiguration?.(newest);
    }
    const { report, subscription } = this;
    if (result !== 'gap' || report === undefined || subscription === undefined) return;
    // Pushes behind the gap wait for the answer.
    if (subscription.isAnswered) this.subscribe(subscription.store, report);
  }
}
