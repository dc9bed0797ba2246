/**
 * Keeps the list of instances up to date. Each poll reads the list and the reclaim notices from the
 * platform, then load reports and cache events from the backend servers. With `shareInstances`, the
 * entry receives the list from another process and polls only when the list is overdue, for example
 * in a partitioned data centre. It then shares the list that it has read. Each entry adds a random
 * delay, so that usually only one of them polls.
 */
import type { PlatformAdapter } from '@hornbeampond/adapters';
import type { AttemptTarget, EntryEventPayload } from '@hornbeampond/entry-core';
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  isOlderList,
  type Configuration,
  type EpochMilliseconds,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PlatformInstance,
} from '@hornbeampond/schema';
import { CacheEventReader } from './CacheEventReader.js';
import type { AdapterDirectory } from './AdapterDirectory.js';
import { RequestedListReads } from './RequestedListReads.js';

export interface BackendServerWatcherOptions {
  readonly platform: PlatformAdapter;
  readonly adapters: AdapterDirectory;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly pollMilliseconds: Milliseconds;
  /** How much older the list may be than the moment in which the platform is asked for it. */
  readonly listLagMilliseconds: Milliseconds;
  readConfiguration(): Configuration;
  dispatch(payload: EntryEventPayload): void;
  /**
   * Sends the list to the other entries, with the time at which the platform was asked for it. If
   * undefined, this entry polls at every interval.
   */
  readonly shareInstances?: (
    instances: readonly PlatformInstance[],
    readAt: EpochMilliseconds,
  ) => void;
  /** The number of entries that may poll when the list is overdue, including this one. */
  countEntries(): number;
}

/** Delay of a poll that is due while another one runs. */
const RUNNING_POLL_DELAY_MILLISECONDS: Milliseconds = 50;

/** The list is overdue when it is older than this many poll intervals. */
const OVERDUE_POLL_INTERVALS = 1.5;

/** Mean time between polls of different entries; allows the list of one to reach the others. */
const MEAN_POLL_SPACING_MILLISECONDS: Milliseconds = 100;

/** Upper limit of the random delay, however many entries there are. */
const MAX_POLL_SPREAD_MILLISECONDS: Milliseconds = 1000;

/** Spreads the first polls of entries that start together. */
const INITIAL_POLL_SPREAD_MILLISECONDS: Milliseconds = 400;

/** Callers wait for the rest of a stream, so a list that is read for them is given up early. */
const READ_FOR_REQUEST_TIMEOUT_MILLISECONDS: Milliseconds = 500;

export class BackendServerWatcher {
  private instances: readonly PlatformInstance[] = [];

  private stopTimer: Unsubscribe = () => {};

  private isPolling = false;

  /** When the platform was asked for the newest received list, by the clock of its reader. */
  private newestReceivedReadAt: EpochMilliseconds | undefined;

  /** True while polls are scheduled; used only with `shareInstances`. */
  private isStarted = false;

  /** The `readAt` of the newest list that this entry has read itself. */
  private newestOwnReadAt: MonotonicMilliseconds = -Infinity;

  private readonly requestedReads: RequestedListReads;

  private readonly cacheEventReader = new CacheEventReader();

  constructor(private readonly options: BackendServerWatcherOptions) {
    this.requestedReads = new RequestedListReads({
      ...options,
      readSpacing: () => this.pollSpacing,
      read: () => {
        void this.readAnew();
      },
      refuse: () => options.dispatch({ type: 'instancesUnread', readAt: this.readAt }),
    });
  }

  /** Starts the timer. Without `shareInstances`, also polls once and resolves after that. */
  async start(): Promise<void> {
    const { timers, pollMilliseconds, shareInstances } = this.options;
    if (shareInstances !== undefined) {
      this.isStarted = true;
      this.schedulePoll(Math.random() * INITIAL_POLL_SPREAD_MILLISECONDS);
      return;
    }
    this.stopTimer = timers.every(pollMilliseconds, () => this.startPoll());
    await this.poll();
  }

  /** Reads the list for requests that need one which shows what is listed now. */
  readForRequests(): void {
    this.requestedReads.request();
  }

  /** Polls of all entries together are no closer than this on average. */
  private get pollSpacing(): Milliseconds {
    return this.options.countEntries() * MEAN_POLL_SPACING_MILLISECONDS;
  }

  /**
   * Handles a list that another process read `age` milliseconds ago.
   *
   * @param readAt - When it asked the platform for it, by its clock, if it says so.
   */
  receiveInstances(
    instances: readonly PlatformInstance[],
    age: Milliseconds,
    readAt?: EpochMilliseconds,
  ): void {
    if (isOlderList(readAt, this.newestReceivedReadAt)) return;
    this.newestReceivedReadAt = readAt;
    const { pollMilliseconds } = this.options;
    const spread = Math.min(MAX_POLL_SPREAD_MILLISECONDS, this.pollSpacing);
    const isFresh = age <= pollMilliseconds * OVERDUE_POLL_INTERVALS;
    // Without any list, as after a start in a partition, an overdue one is better than none.
    if (!isFresh && this.instances.length > 0) return;
    const timeUntilOverdue = pollMilliseconds * OVERDUE_POLL_INTERVALS - age;
    this.schedulePoll(Math.max(0, timeUntilOverdue) + Math.random() * spread);
    this.applyInstances(instances);
  }

  async close(): Promise<void> {
    this.isStarted = false;
    this.stopTimer();
    await this.options.platform.close();
  }

  /** Polls after `delay`, unless a list is received before. */
  private schedulePoll(delay: Milliseconds): void {
    if (!this.isStarted) return;
    this.stopTimer();
    this.stopTimer = this.options.timers.after(delay, () => {
      if (this.isPolling) {
        this.schedulePoll(RUNNING_POLL_DELAY_MILLISECONDS);
        return;
      }
      this.schedulePoll(this.options.pollMilliseconds);
      this.startPoll();
    });
  }

  private startPoll(): void {
    this.poll().catch((error: unknown) => this.logPlatformUnreachable(error));
  }

  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    try {
      await this.pollPlatform();
      await Promise.all(this.instances.map(async (instance) => this.pollInstance(instance)));
    } finally {
      this.isPolling = false;
    }
  }

  private async pollPlatform(): Promise<void> {
    try {
      await this.readPlatform(this.options.pollMilliseconds * 2);
    } catch (error) {
      this.logPlatformUnreachable(error);
    }
  }

  private async readAnew(): Promise<void> {
    const { readAt } = this;
    try {
      await this.readPlatform(READ_FOR_REQUEST_TIMEOUT_MILLISECONDS);
    } catch (error) {
      this.logPlatformUnreachable(error);
      this.options.dispatch({ type: 'instancesUnread', readAt });
    }
  }

  /** A list that is asked for now holds all that the platform had listed at this time. */
  private get readAt(): MonotonicMilliseconds {
    return this.options.timers.monotonicNow() - this.options.listLagMilliseconds;
  }

  private async readPlatform(timeout: Milliseconds): Promise<void> {
    const { platform, dispatch, shareInstances, timers } = this.options;
    const { readAt } = this;
    const readWallAt = timers.wallNow();
    const signal = AbortSignal.timeout(timeout);
    const [instances, notices] = await Promise.all([
      platform.listInstances(signal),
      platform.readNotices(signal),
    ]);
    // Timers do not count the time in which the machine was suspended.
    if (timers.wallNow() - readWallAt > timeout) throw new Error('the list has become too old');
    // Another read may have begun later and ended sooner.
    if (readAt < this.newestOwnReadAt) return;
    this.newestOwnReadAt = readAt;
    this.applyInstances(instances, readAt);
    notices.forEach(({ instance, goneAt }) => {
      dispatch({ type: 'reclaimNoticed', instance, goneAt });
    });
    shareInstances?.(instances, readWallAt);
  }

  private applyInstances(
    instances: readonly PlatformInstance[],
    readAt?: MonotonicMilliseconds,
  ): void {
    const { adapters, dispatch } = this.options;
    this.instances = instances;
    this.cacheEventReader.retainOnly(instances.map(({ instance }) => instance));
    dispatch({ type: 'instancesListed', instances, ...(readAt === undefined ? {} : { readAt }) });
    adapters.retainOnly(instances.flatMap((instance) => this.findTarget(instance) ?? []));
  }

  private async pollInstance(instance: PlatformInstance): Promise<void> {
    const target = this.findTarget(instance);
    if (target === undefined || instance.state === 'starting') return;
    const { adapters, dispatch, pollMilliseconds } = this.options;
    try {
      const backendServerAdapter = adapters.getOrCreate(target);
      // Relayed answers carry the load report.
      if (backendServerAdapter.kind === 'relay') return;
      const signal = AbortSignal.timeout(pollMilliseconds);
      const report = await backendServerAdapter.adapter.readLoad(signal);
      dispatch({ type: 'loadReported', report: { ...report, instance: instance.instance } });
      if (backendServerAdapter.kind !== 'modelEngine') return;
      const events = await this.cacheEventReader.read(
        instance.instance,
        backendServerAdapter.adapter,
        signal,
      );
      if (events.length > 0) dispatch({ type: 'cacheEventsReceived', events });
    } catch {
      // The reducer sees the age of the last report, and attempts report failures themselves.
    }
  }

  private findTarget({ instance, pool, host, port }: PlatformInstance): AttemptTarget | undefined {
    const pools = this.options.readConfiguration().pools.rows;
    const kind = pools.find((row) => row.name === pool)?.kind;
    return kind === undefined ? undefined : { instance, kind, host, port };
  }

  private logPlatformUnreachable(error: unknown): void {
    this.options.logger.write('platformUnreachable', { reason: String(error) });
  }
}
