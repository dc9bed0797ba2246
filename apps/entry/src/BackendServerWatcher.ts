/**
 * Keeps the list of instances and their reclaim notices up to date, and reads the load of each backend
 * server and the cache events of each engine, at steady intervals.
 *
 * Where entries find each other by the stores, one process reads the platform's list for all and
 * tells it. An entry reads it only once nobody has told it for a while, as in a data centre that is cut
 * off, and tells what it has read; entries wait by lot, so that mostly one of them reads.
 */
import type { PlatformAdapter } from '@hornbeampond/adapters';
import type { AttemptTarget, EntryEventPayload } from '@hornbeampond/entry-core';
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  Configuration,
  Milliseconds,
  MonotonicMilliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';
import { CacheEventReader } from './CacheEventReader.js';
import type { AdapterDirectory } from './AdapterDirectory.js';

export interface BackendServerWatcherOptions {
  readonly platform: PlatformAdapter;
  readonly adapters: AdapterDirectory;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly pollMilliseconds: Milliseconds;
  readConfiguration(): Configuration;
  dispatch(payload: EntryEventPayload): void;
  /** Tells the others what was read; without it this entry reads at every interval. */
  readonly shareInstances?: (instances: readonly PlatformInstance[]) => void;
  /** Entries that may read in place of one that does no longer. */
  countEntries(): number;
}

/** How often an entry that is told the list looks whether it still is. */
const OVERDUE_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** A list that is told at every interval has failed to come once it is so many intervals old. */
const OVERDUE_POLL_INTERVALS = 1.5;

/** Apart by so much in the mean, entries that read in place of another see each other's reading. */
const MEAN_READ_SPACING_MILLISECONDS: Milliseconds = 100;

/** Of many entries some read at once; the first of them is to come soon. */
const MAX_READ_SPREAD_MILLISECONDS: Milliseconds = 1000;

/** Spread of the first readings of entries that start together. */
const INITIAL_READ_SPREAD_MILLISECONDS: Milliseconds = 400;

export class BackendServerWatcher {
  private instances: readonly PlatformInstance[] = [];

  private stopTimer: Unsubscribe = () => {};

  private isPolling = false;

  /** When this entry reads the list itself unless it is told before. */
  private nextReadAt: MonotonicMilliseconds = 0;

  private readonly cacheEventReader = new CacheEventReader();

  constructor(private readonly options: BackendServerWatcherOptions) {}

  /** Starts to poll; resolves after the first poll, where this entry reads for itself. */
  async start(): Promise<void> {
    const { timers, pollMilliseconds, shareInstances } = this.options;
    if (shareInstances !== undefined) {
      this.nextReadAt = timers.monotonicNow() + Math.random() * INITIAL_READ_SPREAD_MILLISECONDS;
      this.stopTimer = timers.every(OVERDUE_CHECK_INTERVAL_MILLISECONDS, () =>
        this.pollIfOverdue(),
      );
      return;
    }
    this.stopTimer = timers.every(pollMilliseconds, () => this.startPoll());
    await this.poll();
  }

  /** Takes in the list as another process has read it. */
  receiveInstances(instances: readonly PlatformInstance[], age: Milliseconds): void {
    const { pollMilliseconds, timers } = this.options;
    const uncappedSpread = this.options.countEntries() * MEAN_READ_SPACING_MILLISECONDS;
    const spread = Math.min(MAX_READ_SPREAD_MILLISECONDS, uncappedSpread);
    const isFresh = age <= pollMilliseconds * OVERDUE_POLL_INTERVALS;
    // An old one is better than none, at a start behind a partition.
    if (!isFresh && this.instances.length > 0) return;
    const timeUntilOverdue = pollMilliseconds * OVERDUE_POLL_INTERVALS - age;
    this.nextReadAt =
      timers.monotonicNow() + Math.max(0, timeUntilOverdue) + Math.random() * spread;
    this.applyInstances(instances);
  }

  async close(): Promise<void> {
    this.stopTimer();
    await this.options.platform.close();
  }

  private pollIfOverdue(): void {
    const { timers, pollMilliseconds } = this.options;
    const now = timers.monotonicNow();
    if (this.isPolling || now < this.nextReadAt) return;
    this.nextReadAt = now + pollMilliseconds;
    this.startPoll();
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
    const { platform, dispatch, pollMilliseconds, shareInstances } = this.options;
    const signal = AbortSignal.timeout(pollMilliseconds * 2);
    try {
      const [instances, notices] = await Promise.all([
        platform.listInstances(signal),
        platform.readNotices(signal),
      ]);
      this.applyInstances(instances);
      notices.forEach(({ instance, goneAt }) => {
        dispatch({ type: 'reclaimNoticed', instance, goneAt });
      });
      shareInstances?.(instances);
    } catch (error) {
      this.logPlatformUnreachable(error);
    }
  }

  private applyInstances(instances: readonly PlatformInstance[]): void {
    const { adapters, dispatch } = this.options;
    this.instances = instances;
    this.cacheEventReader.retainOnly(instances.map(({ instance }) => instance));
    dispatch({ type: 'instancesListed', instances });
    adapters.retainOnly(instances.flatMap((instance) => this.findTarget(instance) ?? []));
  }

  private async pollInstance(instance: PlatformInstance): Promise<void> {
    const target = this.findTarget(instance);
    if (target === undefined || instance.state === 'starting') return;
    const { adapters, dispatch, pollMilliseconds } = this.options;
    try {
      const signal = AbortSignal.timeout(pollMilliseconds);
      const found = adapters.getOrCreate(target);
      // Its load comes with its answers.
      if (found.kind === 'relay') return;
      const report = await found.adapter.readLoad(signal);
      dispatch({ type: 'loadReported', report: { ...report, instance: instance.instance } });
      if (found.kind !== 'modelEngine') return;
      const events = await this.cacheEventReader.read(instance.instance, found.adapter, signal);
      if (events.length > 0) dispatch({ type: 'cacheEventsReceived', events });
    } catch {
      // A missing report is told by its age; what reaches callers is told by their attempts.
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
