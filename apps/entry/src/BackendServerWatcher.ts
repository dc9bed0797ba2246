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
  dispatch(occurrence: EntryEventPayload): void;
  /** Tells the others what was read; without it this entry reads at every interval. */
  readonly shareInstances?: (instances: readonly PlatformInstance[]) => void;
  /** Entries that may read in place of one that does no longer. */
  countEntries(): number;
}

/** How often an entry that is told the list looks whether it still is. */
const LOOK_MILLISECONDS: Milliseconds = 50;

/** A list that is told at every interval has failed to come once it is so many intervals old. */
const OVERDUE_INTERVALS = 1.5;

/** Apart by so much in the mean, entries that read in place of another see each other's reading. */
const APART_MILLISECONDS: Milliseconds = 100;

/** Of many entries some read at once; the first of them is to come soon. */
const MOST_SPREAD_MILLISECONDS: Milliseconds = 1000;

/** Spread of the first readings of entries that start together. */
const START_SPREAD_MILLISECONDS: Milliseconds = 400;

export class BackendServerWatcher {
  private instances: readonly PlatformInstance[] = [];

  private stop: Unsubscribe = () => {};

  private polling = false;

  /** When this entry reads the list itself unless it is told before. */
  private readAt: MonotonicMilliseconds = 0;

  private readonly cacheEvents = new CacheEventReader();

  constructor(private readonly options: BackendServerWatcherOptions) {}

  /** Starts to poll; resolves after the first poll, where this entry reads for itself. */
  async start(): Promise<void> {
    const { timers, pollMilliseconds, shareInstances: share } = this.options;
    if (share !== undefined) {
      this.readAt = timers.monotonicNow() + Math.random() * START_SPREAD_MILLISECONDS;
      this.stop = timers.every(LOOK_MILLISECONDS, () => this.readIfOverdue());
      return;
    }
    this.stop = timers.every(pollMilliseconds, () => this.startPoll());
    await this.poll();
  }

  /** Takes in the list as another process has read it. */
  receiveInstances(instances: readonly PlatformInstance[], age: Milliseconds): void {
    const { pollMilliseconds, timers } = this.options;
    const apart = this.options.countEntries() * APART_MILLISECONDS;
    const spread = Math.min(MOST_SPREAD_MILLISECONDS, apart);
    const isFresh = age <= pollMilliseconds * OVERDUE_INTERVALS;
    // An old one is better than none, at a start behind a partition.
    if (!isFresh && this.instances.length > 0) return;
    const overdue = pollMilliseconds * OVERDUE_INTERVALS - age;
    this.readAt = timers.monotonicNow() + Math.max(0, overdue) + Math.random() * spread;
    this.take(instances);
  }

  async close(): Promise<void> {
    this.stop();
    await this.options.platform.close();
  }

  private readIfOverdue(): void {
    const { timers, pollMilliseconds } = this.options;
    const now = timers.monotonicNow();
    if (this.polling || now < this.readAt) return;
    this.readAt = now + pollMilliseconds;
    this.startPoll();
  }

  private startPoll(): void {
    this.poll().catch((error: unknown) => this.reportUnreachable(error));
  }

  private async poll(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    try {
      await this.pollPlatform();
      await Promise.all(this.instances.map(async (instance) => this.pollInstance(instance)));
    } finally {
      this.polling = false;
    }
  }

  private async pollPlatform(): Promise<void> {
    const { platform, dispatch, pollMilliseconds, shareInstances: share } = this.options;
    const signal = AbortSignal.timeout(pollMilliseconds * 2);
    try {
      const [instances, notices] = await Promise.all([
        platform.listInstances(signal),
        platform.readNotices(signal),
      ]);
      this.take(instances);
      notices.forEach(({ instance, goneAt }) => {
        dispatch({ type: 'reclaimNoticed', instance, goneAt });
      });
      share?.(instances);
    } catch (error) {
      this.reportUnreachable(error);
    }
  }

  private take(instances: readonly PlatformInstance[]): void {
    const { adapters, dispatch } = this.options;
    this.instances = instances;
    this.cacheEvents.retainOnly(instances.map(({ instance }) => instance));
    dispatch({ type: 'instancesListed', instances });
    adapters.retainOnly(instances.flatMap((instance) => this.targetOf(instance) ?? []));
  }

  private async pollInstance(instance: PlatformInstance): Promise<void> {
    const target = this.targetOf(instance);
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
      const events = await this.cacheEvents.read(instance.instance, found.adapter, signal);
      if (events.length > 0) dispatch({ type: 'cacheEventsReceived', events });
    } catch {
      // A missing report is told by its age; what reaches callers is told by their attempts.
    }
  }

  private targetOf({ instance, pool, host, port }: PlatformInstance): AttemptTarget | undefined {
    const pools = this.options.readConfiguration().pools.rows;
    const kind = pools.find((row) => row.name === pool)?.kind;
    return kind === undefined ? undefined : { instance, kind, host, port };
  }

  private reportUnreachable(error: unknown): void {
    this.options.logger.write('platformUnreachable', { reason: String(error) });
  }
}
