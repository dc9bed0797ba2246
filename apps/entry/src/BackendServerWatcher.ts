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

/** Of all entries together, after a pause; a platform takes some forty calls a second. */
const MAX_READS_AT_ONCE = 16;

/** Timers may fire a little early. */
const TIMER_MARGIN_MILLISECONDS: Milliseconds = 5;

export class BackendServerWatcher {
  private instances: readonly PlatformInstance[] = [];

  private stopTimer: Unsubscribe = () => {};

  private isPolling = false;

  /** When the platform was asked for the newest received list, by the clock of its reader. */
  private newestReceivedReadAt: EpochMilliseconds | undefined;

  /** True while polls are scheduled; used only with `shareInstances`. */
  private isStarted = false;

  /** True while a read for requests is scheduled and has not begun. */
  private isReadScheduled = false;

  /** When a list may be asked for that shows what was listed when requests last needed one. */
  private readDueAt: MonotonicMilliseconds = -Infinity;

  /** Reads for requests, less those that are long enough ago. */
  private recentReads = 0;

  private readsCountedAt: MonotonicMilliseconds = -Infinity;

  private readonly cacheEventReader = new CacheEventReader();

  constructor(private readonly options: BackendServerWatcherOptions) {}

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

  /**
   * Reads the list for requests that need one which shows what is listed now. It begins once the list
   * cannot lag behind that any more. After a loss of all entries and stores many entries may need one
   * at a time, so that it is not read if this entry has read it for requests often of late.
   */
  readForRequests(): void {
    const { timers, listLagMilliseconds } = this.options;
    this.readDueAt = timers.monotonicNow() + listLagMilliseconds + TIMER_MARGIN_MILLISECONDS;
    if (!this.isReadScheduled) this.scheduleReadForRequests();
  }

  private scheduleReadForRequests(): void {
    const { timers } = this.options;
    const dueAt = this.readDueAt;
    this.isReadScheduled = true;
    timers.after(dueAt - timers.monotonicNow(), () => {
      this.isReadScheduled = false;
      if (this.takeReadAllowance()) void this.readAnew();
      else this.options.dispatch({ type: 'instancesUnread', readAt: this.readAt });
      // For requests that came too late for this one.
      if (this.readDueAt > dueAt) this.scheduleReadForRequests();
    });
  }

  /** False if this entry has read the list for requests too often of late. */
  private takeReadAllowance(): boolean {
    const now = this.options.timers.monotonicNow();
    const most = Math.max(1, Math.floor(MAX_READS_AT_ONCE / this.options.countEntries()));
    const regained = (now - this.readsCountedAt) / this.pollSpacing;
    this.recentReads = Math.max(0, this.recentReads - regained);
    this.readsCountedAt = now;
    if (this.recentReads > most - 1) return false;
    this.recentReads += 1;
    return true;
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
