/**
 * HTTP interface that controls a cluster of fakes from another process. NAME is an instance or
 * `platform`.
 *
 * - `POST /control/NAME/ACTION`, with the action's settings as JSON, runs an action.
 * - `GET /control/NAME` returns the state and the counts of a server or the platform.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import type { FakeBackendServer } from './FakeBackendServer.js';
import type { FakeCluster } from './FakeCluster.js';
import { FakeEngine } from './FakeEngine.js';
import { fakeServiceOutcomes, type FakePlainService } from './FakePlainService.js';
import type { FakePlatform } from './FakePlatform.js';
import { answerJson, FakeServer, readRequestBody, type FakeServerOptions } from './FakeServer.js';

const platformName = 'platform';

/** The settings of all actions; each action reads only its own. */
const actionSchema = z.strictObject({
  busy: z.boolean().default(true),
  milliseconds: z.number().min(0).default(0),
  marker: z.string().optional(),
  tokens: z.number().int().min(0).optional(),
  checks: z.boolean().default(true),
  outcome: z.enum(fakeServiceOutcomes).default('answer'),
  instance: z.string().default(''),
  refusals: z
    .array(
      z.strictObject({
        pool: z.string().optional(),
        dataCentre: z.string().optional(),
        instanceClass: z.string().optional(),
        reason: z.string(),
      }),
    )
    .default([]),
});

type ActionSettings = z.infer<typeof actionSchema>;

/** Functions that run an action, by the name of the action. */
type Actions = Readonly<Record<string, () => void | Promise<void>>>;

function makeCommonActions(server: FakeBackendServer, settings: ActionSettings): Actions {
  return {
    die: () => server.die(),
    restart: () => server.restart(),
    goSilent: () => server.stallOpenConnections(),
    setBusy: () => server.setBusy(settings.busy),
    setAnswerDelay: () => server.setAnswerDelay(settings.milliseconds),
    setPoison: () => server.setPoison(settings.marker),
    setLoadLag: () => server.setLoadLag(settings.milliseconds),
  };
}

function makeEngineActions(engine: FakeEngine, settings: ActionSettings): Actions {
  return {
    ...makeCommonActions(engine, settings),
    stallStreamsAfter: () => engine.stallStreamsAfter(settings.tokens),
    cutStreamsAfter: () => engine.cutStreamsAfter(settings.tokens),
    setChecksFencing: () => engine.setChecksFencing(settings.checks),
  };
}

function makeServiceActions(service: FakePlainService, settings: ActionSettings): Actions {
  return {
    ...makeCommonActions(service, settings),
    setOutcome: () => service.setOutcome(settings.outcome),
  };
}

function makePlatformActions(platform: FakePlatform, settings: ActionSettings): Actions {
  return {
    giveNotice: () => platform.giveNotice(settings.instance, settings.milliseconds),
    remove: () => platform.remove(settings.instance),
    refuseStarts: () => platform.refuseStarts(settings.refusals),
  };
}

function describeServer(server: FakeEngine | FakePlainService): object {
  const { instance, alive, busyCount, crashCount, connectionCount } = server;
  const common = { instance, alive, busyCount, crashCount, connectionCount };
  if (!(server instanceof FakeEngine)) return { ...common, runs: server.runs };
  const { counts, orders, running, queued } = server;
  return { ...common, counts, orders, running, queued };
}

export class FakeControl extends FakeServer {
  constructor(
    private readonly cluster: FakeCluster,
    options: FakeServerOptions,
  ) {
    super(options);
  }

  protected override resetState(): void {}

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, name = '', action = ''] = (request.url ?? '').split('/').slice(1);
    if (request.method === 'GET') {
      this.answerState(response, name);
      return;
    }
    const text = String(await readRequestBody(request));
    const parsed = actionSchema.safeParse(JSON.parse(text === '' ? '{}' : text));
    if (!parsed.success) {
      answerJson(response, 400, { error: parsed.error.message });
      return;
    }
    const runAction = this.findActions(name, parsed.data)?.[action];
    if (runAction === undefined) {
      answerJson(response, 404, { error: `no ${name} or no action ${action}` });
      return;
    }
    await runAction();
    answerJson(response, 200, {});
  }

  private answerState(response: ServerResponse, name: string): void {
    const { engines, services, platform } = this.cluster;
    if (name === platformName) {
      const { purchases, refusedCount } = platform;
      answerJson(response, 200, { instances: platform.listNow(), purchases, refusedCount });
      return;
    }
    const server = engines.get(name) ?? services.get(name);
    if (server === undefined) answerJson(response, 404, { error: `no ${name}` });
    else answerJson(response, 200, describeServer(server));
  }

  private findActions(name: string, settings: ActionSettings): Actions | undefined {
    const { engines, services, platform } = this.cluster;
    if (name === platformName) return makePlatformActions(platform, settings);
    const engine = engines.get(name);
    if (engine !== undefined) return makeEngineActions(engine, settings);
    const service = services.get(name);
    return service === undefined ? undefined : makeServiceActions(service, settings);
  }
}
