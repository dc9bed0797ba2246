/**
 * Subscribes a process to one store at a time, and applies what that store sends.
 *
 * The store may be partitioned without having noticed, or may have restarted and be behind. Its
 * subscribers would then serve outdated tables. So each store states its revision when it answers a
 * report, and a process that stays behind that revision switches to that store. One such answer is
 * enough, since revisions only grow and are reported only after a quorum has them.
 */
import type {
  Configuration,
  DigestAcknowledgement,
  EntryDigest,
  EpochMilliseconds,
  EntryReport,
  EntryUsage,
  Milliseconds,
  MonotonicMilliseconds,
  PersistedEntryData,
  SharedInstance,
  SpendingReport,
  InstanceReport,
  QuarantineRecord,
  ProcessAddress,
  StorePush,
  StoreResponse,
  Unsubscription,
  VoterAddress,
  WorkReport,
} from '@hornbeampond/schema';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import { decideSwitch, type StatedRevision } from './decideSwitch.js';
import { InstanceListFollower } from './InstanceListFollower.js';
import { DIGEST_CHECK_INTERVAL_MILLISECONDS, DigestWatch } from './DigestWatch.js';
import { ConfigurationFollower, type ConfigurationUpdateResult } from './ConfigurationFollower.js';
import type { PeerClient } from './PeerClient.js';

export interface StoreClientHandlers {
  /**
   * A newer configuration.
   *
   * @param age - For how long the store has had it; undefined where the store does not say it.
   */
  onConfiguration?(configuration: Configuration, age: Milliseconds | undefined): void;
  onQuarantine?(quarantine: readonly QuarantineRecord[]): void;
  /**
   * What entries have reported to the store.
   *
   * @param isWhole - True for the first digest of a subscription, which does not depend on others.
   */
  onEntryDigest?(digest: EntryDigest, isWhole: boolean): void;
  /** Single reports, from stores of older versions. */
  onEntryReport?(report: EntryReport): void;
  onUsage?(usage: readonly EntryUsage[]): void;
  onWorkReport?(work: WorkReport): void;
  onSpendingReport?(spending: SpendingReport): void;
  /**
   * The instance list of the platform, as read by another process, and its age.
   *
   * @param readAt - When the platform was asked for it, by the clock of that process, if it says so.
   */
  onInstanceList?(
    instances: readonly SharedInstance[],
    age: Milliseconds,
    readAt: EpochMilliseconds | undefined,
  ): void;
  /** Other stores that keep origins of streams can be reached than before. */
  onOriginStores?(): void;
  /**
   * State of earlier entries that a store has kept for entries that start.
   *
   * @param askedAt - When this process asked for it.
   */
  onPersistedState?(remembered: PersistedEntryData, askedAt: MonotonicMilliseconds): void;
}

/** The sequences of two digests between which others are missing. */
export interface DigestGap {
  readonly expected: number;
  readonly received: number;
}

/** Why a process subscribes to a store. */
export type SubscriptionReason =
  'noSubscription' | 'behind' | 'digestGap' | 'configurationGap' | 'storeOutOfTouch';

/** A subscription that a store has answered, or did not answer in time. */
export interface SubscriptionOutcome {
  readonly store: string;
  readonly reason: SubscriptionReason;
  readonly duration: Milliseconds;
  /** Bytes that the store has sent meanwhile, most of them its answer. */
  readonly bytes: number;
  /** The revision of the answer. */
  readonly revision?: number;
}

export interface StorePeer {
  readonly address: ProcessAddress;
  readonly client: Pick<
    PeerClient,
    'isOpen' | 'bulkReceivedAt' | 'bytesReceived' | 'request' | 'push' | 'close'
  >;
}

export interface StoreSubscriptionOptions {
  readonly timers: TimerService;
  /** The initial report of the process; without a report it does not subscribe. */
  readonly report: InstanceReport | undefined;
  readonly handlers: StoreClientHandlers;
  readStores(): readonly StorePeer[];
  /** Called when a digest was lost and all of them are requested again. */
  onDigestGap?(gap: DigestGap): void;
  onSubscribed?(outcome: SubscriptionOutcome): void;
  onSubscriptionFailed?(outcome: SubscriptionOutcome): void;
  /** Called with each digest that is applied. */
  onDigestAge?(store: string, age: Milliseconds): void;
  /** Called when a store was left because it sent no digests any more. */
  onSilentStore?(instance: string): void;
  /** Called with the members of the log. */
  onMembers(members: readonly VoterAddress[]): void;
}

/** The subscription to one store. */
interface Subscription {
  readonly store: StorePeer;
  readonly reason: SubscriptionReason;
  readonly requestedAt: MonotonicMilliseconds;
  /** Bytes that the store had sent by then. */
  readonly bytesBefore: number;
  /** True once the store has answered with its current state. */
  isAnswered: boolean;
  stated: StatedRevision | undefined;
  /**
   * Pushes received before the answer was handled. They are applied after the answer, because
   * their deltas start from the state in it.
   */
  readonly earlyPushes: StorePush[];
  /** Sequence of the last entry digest; undefined for a store that sends none. */
  digestSequence: number | undefined;
  digestWatch: DigestWatch | undefined;
}

/** A subscription is given up when its store sends less than the bytes below for so long. */
const SUBSCRIBE_TIMEOUT_MILLISECONDS: Milliseconds = 1500;

/** Heartbeats and answers to reports stay below this. */
const MIN_PROGRESS_BYTES = 16 * 1024;

/** Limit on a subscription whose answer keeps arriving. */
const MAX_SUBSCRIBE_MILLISECONDS: Milliseconds = 10_000;

const RETRY_DELAY_MILLISECONDS: Milliseconds = 40;

/**
 * Connected stores apply a change within milliseconds of each other; one that lags longer may be
 * partitioned. This limit and the second between two reports add up to less than the two seconds
 * within which a change must be in force.
 */
const MAX_LAG_MILLISECONDS: Milliseconds = 250;

/**
 * Asks a store to send nothing more. Otherwise a process that has followed several stores, for example
 * during a partition, would be sent everything by all of them, which its link may not carry.
 */
function unsubscribe({ client }: StorePeer): void {
  const message: Unsubscription = { type: 'unsubscribe' };
  client.push(message);
}

export class StoreSubscription {
  report: InstanceReport | undefined;

  private readonly configurationFollower = new ConfigurationFollower();

  private readonly instanceListFollower = new InstanceListFollower();

  private subscription: Subscription | undefined;

  private cancelSwitch: Unsubscribe | undefined;

  private readonly cancelChecks: Unsubscribe;

  /** Stores whose subscription failed; cleared once all connected stores have failed. */
  private readonly failedStores = new Set<StorePeer>();

  private isStopped = false;

  constructor(private readonly options: StoreSubscriptionOptions) {
    this.report = options.report;
    this.cancelChecks = options.timers.every(DIGEST_CHECK_INTERVAL_MILLISECONDS, () =>
      this.leaveSilentStore(),
    );
  }

  stop(): void {
    this.isStopped = true;
    this.cancelChecks();
    this.cancelSwitch?.();
  }

  /**
   * Subscribes if there is no subscription. Prefers a store of the own data centre, which stays
   * reachable if other data centres are partitioned. Otherwise draws one: after a loss of power the
   * first store that listens would get the subscriptions of all entries.
   */
  subscribeIfNeeded(): void {
    const { report } = this;
    if (report === undefined || this.isStopped || this.subscription !== undefined) return;
    if (this.openStores.every((store) => this.failedStores.has(store))) this.failedStores.clear();
    const candidates = this.openStores.filter((store) => !this.failedStores.has(store));
    const store =
      candidates.find(({ address }) => address.dataCentre === report.dataCentre) ??
      candidates[Math.floor(Math.random() * candidates.length)];
    if (store !== undefined) this.subscribe(store, report, 'noSubscription');
  }

  /** Handles a push of the store at this address, if it is subscribed to. */
  receivePush(address: ProcessAddress, push: StorePush): void {
    const { subscription } = this;
    if (subscription?.store.address !== address) return;
    const isStarting = this.configurationFollower.newest === undefined;
    // A complete configuration depends on nothing else, and a starting process waits for the rest.
    const mayApply = push.type === 'configuration' && !isStarting;
    if (subscription.isAnswered || mayApply) this.handlePush(push);
    else subscription.earlyPushes.push(push);
  }

  /** Ends the subscription if it was to the store at this address, and subscribes again. */
  handleDisconnect(address: ProcessAddress): void {
    if (this.subscription?.store.address !== address) return;
    this.subscription = undefined;
    this.subscribeIfNeeded();
  }

  /**
   * Switches to the answering store if this process still lacks the reported revision after
   * `MAX_LAG_MILLISECONDS` and its own store does not have it either; see `decideSwitch`.
   */
  handleReportResponse(store: StorePeer, response: StoreResponse): void {
    if (response.type !== 'accepted' || response.revision === undefined) return;
    const { revision } = response;
    const { subscription } = this;
    const learntAt = this.options.timers.monotonicNow();
    if (subscription?.store === store) subscription.stated = { revision, at: learntAt };
    if (this.cancelSwitch !== undefined || this.hasRevision(revision)) return;
    this.scheduleSwitch(store, revision, learntAt);
  }

  private scheduleSwitch(
    store: StorePeer,
    revision: number,
    learntAt: MonotonicMilliseconds,
  ): void {
    const { timers } = this.options;
    this.cancelSwitch = timers.after(MAX_LAG_MILLISECONDS, () => {
      this.cancelSwitch = undefined;
      const { report, subscription } = this;
      if (this.isStopped || report === undefined || this.hasRevision(revision)) return;
      if (!store.client.isOpen) return;
      const decision =
        subscription === undefined
          ? 'switch'
          : decideSwitch({ revision, learntAt, now: timers.monotonicNow(), ...subscription });
      if (decision === 'switch') this.subscribe(store, report, 'behind');
      else this.scheduleSwitch(store, revision, learntAt);
    });
  }

  private get openStores(): StorePeer[] {
    return this.options.readStores().filter(({ client }) => client.isOpen);
  }

  private hasRevision(revision: number): boolean {
    return (this.configurationFollower.newest?.revision ?? 0) >= revision;
  }

  private subscribe(store: StorePeer, report: InstanceReport, reason: SubscriptionReason): void {
    const previousStore = this.subscription?.store;
    if (previousStore !== undefined && previousStore !== store) unsubscribe(previousStore);
    const subscription: Subscription = {
      store,
      reason,
      requestedAt: this.options.timers.monotonicNow(),
      bytesBefore: store.client.bytesReceived,
      isAnswered: false,
      stated: undefined,
      earlyPushes: [],
      digestSequence: undefined,
      digestWatch: undefined,
    };
    this.subscription = subscription;
    const request = {
      type: 'subscribe',
      report,
      receivesDigests: true,
      acknowledgesDigests: true,
      isStarting: this.configurationFollower.newest === undefined,
    } as const;
    store.client.request(request, MAX_SUBSCRIBE_MILLISECONDS).then(
      (response) => {
        if (this.subscription === subscription) {
          this.handleSubscribeResponse(subscription, response as StoreResponse);
        }
      },
      () => this.giveUp(subscription),
    );
    this.watchProgress(subscription, subscription.bytesBefore);
  }

  /** Gives a subscription up whose store sends nothing; its answer may be long on a slow link. */
  private watchProgress(subscription: Subscription, bytesBefore: number): void {
    this.options.timers.after(SUBSCRIBE_TIMEOUT_MILLISECONDS, () => {
      if (this.subscription !== subscription || subscription.isAnswered) return;
      const { bytesReceived } = subscription.store.client;
      if (bytesReceived - bytesBefore < MIN_PROGRESS_BYTES) this.giveUp(subscription);
      else this.watchProgress(subscription, bytesReceived);
    });
  }

  private giveUp(subscription: Subscription): void {
    if (this.subscription !== subscription || subscription.isAnswered) return;
    const { store } = subscription;
    this.subscription = undefined;
    this.failedStores.add(store);
    this.options.onSubscriptionFailed?.(this.describeOutcome(subscription));
    // It may have received the request and answer it late.
    unsubscribe(store);
    this.options.timers.after(RETRY_DELAY_MILLISECONDS, () => this.subscribeIfNeeded());
  }

  private handleSubscribeResponse(subscription: Subscription, response: StoreResponse): void {
    if (response.type !== 'subscribed') return;
    subscription.isAnswered = true;
    const { revision } = response.configuration;
    this.options.onSubscribed?.({ ...this.describeOutcome(subscription), revision });
    this.failedStores.clear();
    this.resetInstanceList(response);
    // The configuration comes last, since it admits the requests that wait for it.
    this.options.handlers.onPersistedState?.(response.remembered, subscription.requestedAt);
    this.options.handlers.onQuarantine?.(response.quarantine);
    if (response.digest !== undefined) {
      subscription.digestSequence = response.digest.sequence;
      subscription.digestWatch = new DigestWatch(this.options.timers.monotonicNow());
      this.options.handlers.onEntryDigest?.(response.digest, true);
      StoreSubscription.acknowledge(subscription.store, response.digest);
    }
    this.handleUpdateResult(
      this.configurationFollower.applyConfiguration(response.configuration),
      undefined,
    );
    this.options.onMembers(response.stores);
    subscription.earlyPushes.forEach((push) => this.handlePush(push));
  }

  private resetInstanceList({
    instances,
    instancesAge = 0,
    instancesReadAt,
  }: Extract<StoreResponse, { type: 'subscribed' }>): void {
    this.instanceListFollower.reset(instances);
    if (instances === undefined) return;
    this.options.handlers.onInstanceList?.(instances, instancesAge, instancesReadAt);
  }

  private handlePush(push: StorePush): void {
    const { handlers, onMembers } = this.options;
    switch (push.type) {
      case 'configuration':
        this.handleUpdateResult(
          this.configurationFollower.applyConfiguration(push.configuration),
          this.ageOf(push),
        );
        return;
      case 'configurationDelta':
        this.handleUpdateResult(
          this.configurationFollower.applyConfigurationDelta(push.delta),
          this.ageOf(push),
        );
        return;
      case 'quarantine':
        handlers.onQuarantine?.(push.quarantine);
        return;
      case 'stores':
        onMembers(push.stores);
        return;
      case 'entryDigest':
        this.handleDigest(push.digest, push.isWhole === true);
        return;
      case 'entryReport':
        handlers.onEntryReport?.(push.report);
        return;
      case 'instances':
        handlers.onInstanceList?.(this.instanceListFollower.applyDelta(push), 0, push.readAt);
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

  /** Applies a digest; after a gap, subscribes again to get a complete one. */
  private handleDigest(digest: EntryDigest, isWhole: boolean): void {
    const { report, subscription } = this;
    if (subscription === undefined) return;
    const { digestSequence } = subscription;
    subscription.digestWatch?.recordDigest(this.options.timers.monotonicNow());
    const age = this.ageOf(digest);
    if (age !== undefined) this.options.onDigestAge?.(subscription.store.address.instance, age);
    if (digestSequence === undefined || digest.sequence <= digestSequence) return;
    const { since = digest.sequence - 1 } = digest;
    if (isWhole || since <= digestSequence) {
      subscription.digestSequence = digest.sequence;
      this.options.handlers.onEntryDigest?.(digest, isWhole);
      StoreSubscription.acknowledge(subscription.store, digest);
      return;
    }
    this.options.onDigestGap?.({ expected: digestSequence + 1, received: since + 1 });
    if (report !== undefined) this.subscribe(subscription.store, report, 'digestGap');
  }

  private static acknowledge({ client }: StorePeer, digest: EntryDigest): void {
    if (digest.isAcknowledgementDue !== true) return;
    const message: DigestAcknowledgement = { type: 'digestApplied', sequence: digest.sequence };
    client.push(message);
  }

  /** Subscribes to another store if there is one and the current one sends no digests any more. */
  private leaveSilentStore(): void {
    const { subscription } = this;
    const now = this.options.timers.monotonicNow();
    if (subscription === undefined) return;
    const { store, digestWatch } = subscription;
    if (digestWatch?.isSilent(now, store.client.bulkReceivedAt) !== true) return;
    if (!this.openStores.some((other) => other !== store && !this.failedStores.has(other))) return;
    this.failedStores.add(store);
    this.subscription = undefined;
    unsubscribe(store);
    this.options.onSilentStore?.(store.address.instance);
    this.subscribeIfNeeded();
  }

  /**
   * Switches to another connected store; that store may report that it is partitioned too. It is drawn,
   * because all subscribers of a store are told at once, and would all turn to the same one.
   */
  private switchStore(): void {
    const { report, subscription } = this;
    if (report === undefined || subscription === undefined) return;
    const otherStores = this.openStores.filter((store) => store !== subscription.store);
    const store = otherStores[Math.floor(Math.random() * otherStores.length)];
    if (store !== undefined) this.subscribe(store, report, 'storeOutOfTouch');
  }

  /** Reports a newer configuration; after a gap, subscribes again to get a complete one. */
  private handleUpdateResult(
    result: ConfigurationUpdateResult,
    age: Milliseconds | undefined,
  ): void {
    const { newest } = this.configurationFollower;
    if (result === 'newer' && newest !== undefined) {
      this.options.handlers.onConfiguration?.(newest, age);
    }
    const { report, subscription } = this;
    if (result !== 'gap' || report === undefined || subscription === undefined) return;
    // Later pushes wait for the answer.
    if (subscription.isAnswered) this.subscribe(subscription.store, report, 'configurationGap');
  }

  /** For how long a store has had what it sends now, by its clock and the clock of this process. */
  private ageOf({ publishedAt }: { readonly publishedAt?: EpochMilliseconds }) {
    if (publishedAt === undefined) return undefined;
    return Math.max(0, this.options.timers.wallNow() - publishedAt);
  }

  private describeOutcome(subscription: Subscription): SubscriptionOutcome {
    const { store, reason, requestedAt, bytesBefore } = subscription;
    const duration = this.options.timers.monotonicNow() - requestedAt;
    const bytes = store.client.bytesReceived - bytesBefore;
    return { store: store.address.instance, reason, duration, bytes };
  }
}
