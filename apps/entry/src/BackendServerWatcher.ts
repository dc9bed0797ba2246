/**
 * Reads the platform's list of instances and their reclaim notices, the load of each backend server
 * and the cache events of each engine, at steady intervals.
 */
import type { PlatformAdapter } from '@hornbeampond/adapters';
import type { AttemptTarget, EntryOccurrence } from '@hornbeampond/entry-core';
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Configuration, Milliseconds, PlatformInstance } from '@hornbeampond/schema';
import { CacheEventReader } from './CacheEventReader.js';
import type { AdapterDirectory } from './AdapterDirectory.js';

export interface BackendServerWatcherOptions {
  readonly platform: PlatformAdapter;
  readonly adapters: AdapterDirectory;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly pollMilliseconds: Milliseconds;
  readConfiguration(): Configuration;
  dispatch(occurrence: EntryOccurrence): void;
}

export class BackendServerWatcher {
  private instances: readonly PlatformInstance[] = [];

  private stop: Unsubscribe = () => {};

  private polling = false;

  private readonly cacheEvents = new CacheEventReader();

  constructor(private readonly options: BackendServerWatcherOptions) {}

  /** Polls once, then at every interval; resolves after the first poll. */
  async start(): Promise<void> {
    const { timers, pollMilliseconds } = this.options;
    this.stop = timers.every(pollMilliseconds, () => {
      this.poll().catch((error: unknown) => this.reportUnreachable(error));
    });
    await this.poll();
  }

  async close(): Promise<void> {
    this.stop();
    await this.options.platform.close();
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
    const { platform, dispatch, adapters, pollMilliseconds } = this.options;
    const signal = AbortSignal.timeout(pollMilliseconds * 2);
    try {
      const [instances, notices] = await Promise.all([
        platform.listInstances(signal),
        platform.readNotices(signal),
      ]);
      this.instances = instances;
      this.cacheEvents.keepOnly(instances.map(({ instance }) => instance));
      dispatch({ type: 'instancesListed', instances });
      notices.forEach(({ instance, goneAt }) => {
        dispatch({ type: 'reclaimNoticed', instance, goneAt });
      });
      adapters.keepOnly(instances.flatMap((instance) => this.targetOf(instance) ?? []));
    } catch (error) {
      this.reportUnreachable(error);
    }
  }

  private async pollInstance(instance: PlatformInstance): Promise<void> {
    const target = this.targetOf(instance);
    if (target === undefined || instance.state === 'starting') return;
    const { adapters, dispatch, pollMilliseconds } = this.options;
    try {
      const signal = AbortSignal.timeout(pollMilliseconds);
      const found = adapters.find(target);
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
