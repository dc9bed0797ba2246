/**
 * A fake platform that serves the HTTP interface of `HttpPlatformAdapter`. It sells instances, one
 * for each start token, lists them with a configurable lag, refuses starts on request, and removes
 * an instance at the time stated in its reclaim notice.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InstanceStart, ReclaimNotice } from '@hornbeampond/adapters';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import type { EpochMilliseconds, Milliseconds, PlatformInstance } from '@hornbeampond/schema';
import { answerJson, FakeServer, readRequestBody, type FakeServerOptions } from './FakeServer.js';

/** Instance lists kept for delayed answers. */
const MAX_RECORDED_LISTS = 1000;

/** The server that runs on an instance. */
export interface LaunchedServer {
  readonly host: string;
  readonly port: number;
  close(): Promise<void>;
}

export type LaunchServer = (start: InstanceStart, instance: string) => Promise<LaunchedServer>;

export interface FakePlatformOptions extends FakeServerOptions {
  readonly timers?: TimerService;
  /** Age of the list of instances in an answer. */
  readonly listLag?: Milliseconds;
  /** Time that a bought instance stays in state `starting`. */
  readonly startDelay?: Milliseconds;
  /** Starts the backend server of a bought instance; without it nothing listens there. */
  readonly launch?: LaunchServer;
}

/** Refuses the starts that match all keys present here. */
export interface StartRefusal {
  readonly pool?: string;
  readonly dataCentre?: string;
  readonly instanceClass?: string;
  readonly reason: string;
}

interface InstanceList {
  readonly since: EpochMilliseconds;
  readonly instances: readonly PlatformInstance[];
}

export class FakePlatform extends FakeServer {
  /** Accepted starts, one for each start token. */
  readonly purchases: InstanceStart[] = [];

  /** Number of refused starts. */
  refusedCount = 0;

  private readonly timers: TimerService;

  private readonly instances = new Map<string, PlatformInstance>();

  private readonly servers = new Map<string, LaunchedServer>();

  private readonly startsByToken = new Map<string, Promise<PlatformInstance>>();

  private lists: InstanceList[] = [];

  private refusals: readonly StartRefusal[] = [];

  private listLag: Milliseconds;

  private remainingNoticeReads = Infinity;

  constructor(private readonly options: FakePlatformOptions = {}) {
    super(options);
    this.timers = options.timers ?? new SystemTimerService();
    this.listLag = options.listLag ?? 0;
  }

  static async start(options: FakePlatformOptions = {}): Promise<FakePlatform> {
    const platform = new FakePlatform(options);
    await platform.restart();
    return platform;
  }

  /** Adds an instance without a purchase, or replaces its record. */
  add(instance: PlatformInstance, server?: LaunchedServer): void {
    this.instances.set(instance.instance, instance);
    if (server !== undefined) this.servers.set(instance.instance, server);
    this.recordList();
  }

  /** Refuses starts that match any of `refusals`, which replace the previous ones. */
  refuseStarts(refusals: readonly StartRefusal[]): void {
    this.refusals = refusals;
  }

  setListLag(lag: Milliseconds): void {
    this.listLag = lag;
  }

  /** Returns notices only in the next `count` reads; later reads omit them, without other effect. */
  limitNoticeReads(count: number): void {
    this.remainingNoticeReads = count;
  }

  /** Announces that an instance is removed after `notice`, and removes it then. */
  giveNotice(instance: string, notice: Milliseconds): void {
    const found = this.instances.get(instance);
    if (found === undefined) return;
    const goneAt = this.timers.wallNow() + notice;
    this.add({ ...found, state: 'leaving', goneAt });
    this.timers.after(notice, () => {
      void this.remove(instance);
    });
  }

  /** Removes an instance immediately and closes its server. */
  async remove(instance: string): Promise<void> {
    this.instances.delete(instance);
    const server = this.servers.get(instance);
    this.servers.delete(instance);
    this.recordList();
    await server?.close();
  }

  /** The current list, without the lag. */
  listNow(): readonly PlatformInstance[] {
    return [...this.instances.values()];
  }

  override async close(): Promise<void> {
    await Promise.all([...this.servers.values()].map((server) => server.close()));
    await super.close();
  }

  /** The platform keeps its records when its API server dies. */
  protected override resetState(): void {}

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [path, name] = (request.url ?? '').split('/').slice(1);
    const route = `${request.method} ${path}`;
    if (route === 'GET instances') answerJson(response, 200, { instances: this.listWithLag() });
    else if (route === 'GET notices') answerJson(response, 200, { notices: this.listNotices() });
    else if (route === 'POST instances') await this.answerStart(request, response);
    else if (route === 'DELETE instances') await this.answerEnd(response, name);
    else answerJson(response, 404, { error: 'not found' });
  }

  private recordList(): void {
    this.lists.push({ since: this.timers.wallNow(), instances: this.listNow() });
    if (this.lists.length > MAX_RECORDED_LISTS) this.lists.shift();
    this.notifyWaiters();
  }

  private listWithLag(): readonly PlatformInstance[] {
    const asOf = this.timers.wallNow() - this.listLag;
    return this.lists.findLast(({ since }) => since <= asOf)?.instances ?? [];
  }

  private listNotices(): ReclaimNotice[] {
    if (this.remainingNoticeReads <= 0) return [];
    this.remainingNoticeReads -= 1;
    return this.listNow().flatMap(({ instance, goneAt }) =>
      goneAt === undefined ? [] : [{ instance, goneAt }],
    );
  }

  private findRefusal(start: InstanceStart): StartRefusal | undefined {
    return this.refusals.find(
      ({ pool, dataCentre, instanceClass }) =>
        (pool ?? start.pool) === start.pool &&
        (dataCentre ?? start.dataCentre) === start.dataCentre &&
        (instanceClass ?? start.instanceClass) === start.instanceClass,
    );
  }

  private async answerStart(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const start = JSON.parse(String(await readRequestBody(request))) as InstanceStart;
    const existing = this.startsByToken.get(start.startToken);
    const refusal = existing === undefined ? this.findRefusal(start) : undefined;
    if (refusal !== undefined) {
      this.refusedCount += 1;
      answerJson(response, 409, { refused: refusal.reason });
      return;
    }
    const bought = existing ?? this.buy(start);
    this.startsByToken.set(start.startToken, bought);
    answerJson(response, 200, { instance: await bought });
  }

  private async buy(start: InstanceStart): Promise<PlatformInstance> {
    this.purchases.push(start);
    const instance = `${start.pool}-${start.dataCentre}-${this.purchases.length}`;
    const server = await this.options.launch?.(start, instance);
    const { startDelay = 0 } = this.options;
    const bought: PlatformInstance = {
      instance,
      ...start,
      state: startDelay > 0 ? 'starting' : 'live',
      host: server?.host ?? this.host,
      port: server?.port ?? 0,
    };
    this.add(bought, server);
    if (startDelay > 0) this.timers.after(startDelay, () => this.becomeLive(instance));
    return bought;
  }

  private becomeLive(instance: string): void {
    const found = this.instances.get(instance);
    if (found?.state === 'starting') this.add({ ...found, state: 'live' });
  }

  private async answerEnd(response: ServerResponse, instance = ''): Promise<void> {
    const name = decodeURIComponent(instance);
    const status = this.instances.has(name) ? 200 : 404;
    await this.remove(name);
    answerJson(response, status, {});
  }
}
