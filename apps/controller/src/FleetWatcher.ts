/**
 * Polls the inputs of a controller's decisions: the platform's instance list and reclaim notices,
 * the load of the backend servers in its own data centre, and the weight store's load rate. Reports
 * an instance as lost only if both its polls and a probe over a new connection fail. Also provides
 * the adapters to engines.
 */
import {
  HttpEngineAdapter,
  HttpPlainServiceAdapter,
  type EngineAdapter,
  type PlainServiceAdapter,
  type PlatformAdapter,
  type WeightStoreAdapter,
} from '@hornbeampond/adapters';
import type { Logger, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  Configuration,
  EpochMilliseconds,
  LoadReport,
  Milliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';

export interface FleetWatcherOptions {
  readonly platform: PlatformAdapter;
  readonly weightStore: WeightStoreAdapter | undefined;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly dataCentre: string;
  readonly pollMilliseconds: Milliseconds;
  /** How long an instance may leave polls unanswered before it is probed; 30 s by default. */
  readonly maxUnansweredMilliseconds?: Milliseconds;
  readConfiguration(): Configuration;
  onListed(instances: readonly PlatformInstance[]): void;
  onReclaimNotice(instance: string, goneAt: EpochMilliseconds): void;
  onLoad(report: LoadReport): void;
  /** Called at each poll at which the instance is found unreachable, so possibly repeatedly. */
  onLost(instance: string): void;
  onLoadRate(loadsPerMinute: number): void;
}

/**
 * An instance that has left polls unanswered for this long is probed. The time is long enough for a
 * crashed server process to restart on its instance, which must not be replaced then.
 */
const MAX_UNANSWERED_MILLISECONDS = 30_000;

const PROBE_TIMEOUT_MILLISECONDS = 2000;

type Adapter = EngineAdapter | PlainServiceAdapter;

export class FleetWatcher {
  private readonly adapters = new Map<string, Adapter>();

  private instances: readonly PlatformInstance[] = [];

  private stopPolling: Unsubscribe = () => {};

  private isPolling = false;

  /** Time of the first of the consecutive unanswered polls, by instance. */
  private readonly unansweredSince = new Map<string, number>();

  constructor(private readonly options: FleetWatcherOptions) {}

  start(): void {
    const { timers, pollMilliseconds } = this.options;
    this.stopPolling = timers.every(pollMilliseconds, () => {
      void this.poll();
    });
    void this.poll();
  }

  /** The adapter to a model engine, if the platform lists the instance. */
  findEngine(instance: string): EngineAdapter | undefined {
    const listed = this.instances.find((row) => row.instance === instance);
    if (listed === undefined) return undefined;
    const adapter = this.getOrCreateAdapter(listed);
    return adapter !== undefined && 'sendOrder' in adapter ? adapter : undefined;
  }

  /** True if the pools table says that the backend server refuses outdated fencing tokens. */
  serverChecksFencing(instance: string): boolean {
    const pool = this.instances.find((row) => row.instance === instance)?.pool;
    const { rows } = this.options.readConfiguration().pools;
    return rows.find((row) => row.name === pool)?.checksFencing ?? false;
  }

  async close(): Promise<void> {
    this.stopPolling();
    await Promise.all([...this.adapters.values()].map(async (adapter) => adapter.close()));
    await this.options.platform.close();
    await this.options.weightStore?.close();
  }

  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    try {
      await this.pollPlatform();
      await Promise.all(this.instances.map(async (instance) => this.pollLoad(instance)));
      await this.pollLoadRate();
    } finally {
      this.isPolling = false;
    }
  }

  private async pollPlatform(): Promise<void> {
    const { platform, pollMilliseconds, onListed, onReclaimNotice, logger } = this.options;
    const signal = AbortSignal.timeout(pollMilliseconds * 2);
    try {
      const [instances, notices] = await Promise.all([
        platform.listInstances(signal),
        platform.readNotices(signal),
      ]);
      this.instances = instances;
      this.pruneUnlisted();
      onListed(instances);
      notices.forEach(({ instance, goneAt }) => onReclaimNotice(instance, goneAt));
    } catch (error) {
      logger.write('platformUnreachable', { reason: String(error) });
    }
  }

  private async pollLoad(listed: PlatformInstance): Promise<void> {
    const { dataCentre, pollMilliseconds, onLoad } = this.options;
    if (listed.dataCentre !== dataCentre || listed.state === 'starting') return;
    const { instance } = listed;
    try {
      const signal = AbortSignal.timeout(pollMilliseconds);
      const report = await this.getOrCreateAdapter(listed)?.readLoad(signal);
      if (report !== undefined) onLoad({ ...report, instance });
      this.unansweredSince.delete(instance);
    } catch {
      // The last load report stays; its age shows that the instance has not answered since.
      const now = this.options.timers.monotonicNow();
      const since = this.unansweredSince.get(instance) ?? now;
      this.unansweredSince.set(instance, since);
      const maxUnanswered = this.options.maxUnansweredMilliseconds ?? MAX_UNANSWERED_MILLISECONDS;
      if (now - since >= maxUnanswered) await this.reportLostUnlessReachable(listed);
    }
  }

  /**
   * The platform may go on listing a dead instance, which would then never be replaced. The probe
   * uses a new connection, which a slow instance still answers.
   */
  private async reportLostUnlessReachable(listed: PlatformInstance): Promise<void> {
    try {
      await this.getOrCreateAdapter(listed)?.probe(AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS));
    } catch {
      this.options.onLost(listed.instance);
    }
  }

  private pruneUnlisted(): void {
    const listed = new Set(this.instances.map(({ instance }) => instance));
    [...this.unansweredSince.keys()].forEach((instance) => {
      if (!listed.has(instance)) this.unansweredSince.delete(instance);
    });
  }

  private async pollLoadRate(): Promise<void> {
    const { weightStore, pollMilliseconds, onLoadRate } = this.options;
    if (weightStore === undefined) return;
    try {
      const rate = await weightStore.readRate(AbortSignal.timeout(pollMilliseconds));
      onLoadRate(rate.loadsPerMinute);
    } catch {
      // The last known rate stays in use.
    }
  }

  private getOrCreateAdapter({ pool, host, port }: PlatformInstance): Adapter | undefined {
    const { rows } = this.options.readConfiguration().pools;
    const kind = rows.find((row) => row.name === pool)?.kind;
    if (kind === undefined) return undefined;
    const key = `${kind} ${host} ${port}`;
    const known = this.adapters.get(key);
    if (known !== undefined) return known;
    const made =
      kind === 'modelEngine'
        ? new HttpEngineAdapter({ host, port })
        : new HttpPlainServiceAdapter({ host, port });
    this.adapters.set(key, made);
    return made;
  }
}
