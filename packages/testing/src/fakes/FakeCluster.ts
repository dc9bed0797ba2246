/**
 * A cluster of a fake platform, a fake weight store, fake engines and fake plain services. The
 * platform lists the servers and launches a new server on each instance bought from it.
 */
import type { InstanceStart } from '@hornbeampond/adapters';
import type { TimerService } from '@hornbeampond/runtime';
import type { FakeBackendServerOptions } from './FakeBackendServer.js';
import {
  fakeClusterSchema,
  type FakeClusterInput,
  type FakeClusterSettings,
  type FakeEngineSettings,
  type FakeLaunch,
  type FakeServiceSettings,
} from './fakeClusterSettings.js';
import { FakeEngine, type FakeEngineOptions } from './FakeEngine.js';
import { FakePlainService } from './FakePlainService.js';
import { FakePlatform } from './FakePlatform.js';
import { FakeWeightStore } from './FakeWeightStore.js';

function toEngineOptions(settings: Partial<FakeEngineSettings>): FakeEngineOptions {
  const { model, concurrency, answerTokens, checksFencing } = settings;
  return {
    model,
    concurrency,
    answerTokens,
    checksFencing,
    tokenDelay: settings.tokenDelayMilliseconds,
    prefillDelay: settings.prefillDelayMilliseconds,
  };
}

export class FakeCluster {
  /** All engines ever started, by instance; stopped ones stay, so their counts remain readable. */
  readonly engines = new Map<string, FakeEngine>();

  readonly services = new Map<string, FakePlainService>();

  private constructor(
    readonly settings: FakeClusterSettings,
    readonly platform: FakePlatform,
    readonly weightStore: FakeWeightStore,
    private readonly timers: TimerService | undefined,
  ) {}

  /** Starts the platform, the weight store and all servers listed in the settings. */
  static async start(input: FakeClusterInput, timers?: TimerService): Promise<FakeCluster> {
    const settings = fakeClusterSchema.parse(input);
    const { host } = settings;
    let cluster: FakeCluster | undefined;
    const platform = await FakePlatform.start({
      host,
      port: settings.platform.port,
      timers,
      listLag: settings.platform.listLagMilliseconds,
      startDelay: settings.platform.startDelayMilliseconds,
      launch: (start, instance) => {
        if (cluster === undefined) throw new Error('the cluster has not started yet');
        return cluster.launch(start, instance);
      },
    });
    const weightStore = await FakeWeightStore.start({ host, timers, ...settings.weightStore });
    cluster = new FakeCluster(settings, platform, weightStore, timers);
    await cluster.startConfiguredServers();
    return cluster;
  }

  async close(): Promise<void> {
    const servers = [...this.engines.values(), ...this.services.values()];
    await Promise.all(servers.map((server) => server.close()));
    await Promise.all([this.platform.close(), this.weightStore.close()]);
  }

  private async startConfiguredServers(): Promise<void> {
    for (const engine of this.settings.engines) {
      const { instance, port } = engine;
      this.addToPlatform(
        engine,
        await this.startEngine({ instance, port, ...toEngineOptions(engine) }),
      );
    }
    for (const service of this.settings.services) {
      const { instance, port } = service;
      this.addToPlatform(service, await this.startService({ instance, port }));
    }
  }

  private addToPlatform(
    { instance, pool, dataCentre, instanceClass }: FakeServiceSettings,
    server: FakeEngine | FakePlainService,
  ): void {
    const { host, port } = server;
    const place = { instance, pool, dataCentre, instanceClass, host, port };
    this.platform.add({ ...place, state: 'live' }, server);
  }

  private async startEngine(options: FakeEngineOptions): Promise<FakeEngine> {
    const { host } = this.settings;
    const engine = await FakeEngine.start({ host, timers: this.timers, ...options });
    this.engines.set(engine.instance, engine);
    return engine;
  }

  private async startService(options: FakeBackendServerOptions): Promise<FakePlainService> {
    const { host } = this.settings;
    const service = await FakePlainService.start({ host, timers: this.timers, ...options });
    this.services.set(service.instance, service);
    return service;
  }

  private async launch({ pool }: InstanceStart, instance: string) {
    const launch: FakeLaunch | undefined = this.settings.launches.find(
      (candidate) => candidate.pool === pool,
    );
    if (launch?.kind === 'plainService') return this.startService({ instance });
    return this.startEngine({ instance, ...toEngineOptions(launch ?? {}) });
  }
}
