/** What one request costs the reducer as pools and tables grow. */
import { performance } from 'node:perf_hooks';
import {
  findRoute,
  makeEntryState,
  reduceEntry,
  RouteIndex,
  type EntryEventPayload,
  type EntryState,
} from '@hornbeampond/entry-core';
import { examplePool, exampleRequest, exampleRoute } from '@hornbeampond/entry-core/testing';
import { emptyConfiguration, type Route } from '@hornbeampond/schema';

const BATCHES = 9;
const REQUESTS_PER_BATCH = 4000;
const WARM_UP_REQUESTS = 5000;
const LOOK_UPS = 100_000;
const CONCURRENCY = 16;
/** Requests that stay in progress for each backend server, up to `MOST_STANDING`. */
const STANDING_PER_SERVER = 4;
const MOST_STANDING = 4000;

export interface CostFigures {
  readonly servers: number;
  /** Arrival to `startAttempt`: routing, admission and choice. */
  readonly arrivalMicroseconds: number;
  /** All five events of a request. */
  readonly requestMicroseconds: number;
}

export interface RouteFigures {
  readonly routes: number;
  readonly lookUpMicroseconds: number;
}

class CostRun {
  private now = 0;

  private readonly state: EntryState = makeEntryState({
    instance: 'entry-0',
    dataCentre: 'dc-a',
    incarnation: 1,
    maxQueuedRequests: 1000,
  });

  constructor(servers: number) {
    const pools = { revision: 1, rows: [examplePool(CONCURRENCY)] };
    const limits = { inProgressPerWorkspace: 1_000_000 };
    const routes = { revision: 1, rows: [exampleRoute({ limits })] };
    this.send({ type: 'configurationReceived', configuration: { revision: 1, routes, pools } });
    const instances = Array.from({ length: servers }, (_, number) => ({
      instance: `engine-${number}`,
      dataCentre: 'dc-a',
      instanceClass: 'large',
      pool: 'engines',
      state: 'live' as const,
      host: '192.0.2.1',
      port: 8000,
    }));
    this.send({ type: 'instancesListed', instances });
    const standing = Math.min(MOST_STANDING, servers * STANDING_PER_SERVER);
    for (let number = 0; number < standing; number += 1) {
      this.arrive(`standing-${number}`);
      this.send({ type: 'firstTokenReceived', attemptId: `standing-${number}.1` });
    }
  }

  /** Time spent on arrivals and on everything, in milliseconds. */
  run(requests: number, name: string): { arrival: number; whole: number } {
    let arrival = 0;
    const startedAt = performance.now();
    for (let number = 0; number < requests; number += 1) {
      const requestId = `${name}-${number}`;
      const arrivedAt = performance.now();
      this.arrive(requestId);
      arrival += performance.now() - arrivedAt;
      const attemptId = `${requestId}.1`;
      this.send({ type: 'attemptSent', attemptId });
      this.send({ type: 'firstTokenReceived', attemptId });
      this.send({ type: 'attemptProgressed', attemptId, tokens: 10 });
      this.send({ type: 'attemptFinished', attemptId, tokens: 20 });
    }
    return { arrival, whole: performance.now() - startedAt };
  }

  private arrive(requestId: string): void {
    const conversation = this.now % 500;
    const prefixDigests = ['system', `${conversation}-1`, `${conversation}-2`];
    const request = exampleRequest(requestId, { prefixDigests, promptTokens: 750 });
    this.send({ type: 'requestArrived', request });
  }

  private send(event: EntryEventPayload): void {
    this.now += 1;
    reduceEntry(this.state, { ...event, now: this.now, wallNow: this.now });
  }
}

export function measureServers(servers: number): CostFigures {
  const run = new CostRun(servers);
  run.run(WARM_UP_REQUESTS, 'warm-up');
  const batches = Array.from({ length: BATCHES }, (_, batch) =>
    run.run(REQUESTS_PER_BATCH, `batch-${batch}`),
  );
  return {
    servers,
    arrivalMicroseconds: toMicroseconds(batches.map(({ arrival }) => arrival)),
    requestMicroseconds: toMicroseconds(batches.map(({ whole }) => whole)),
  };
}

/** Microseconds for one request, of the median batch: the machine is shared with others. */
function toMicroseconds(milliseconds: readonly number[]): number {
  const sorted = [...milliseconds].sort((a, b) => a - b);
  return ((sorted[Math.floor(BATCHES / 2)] ?? 0) * 1000) / REQUESTS_PER_BATCH;
}

function makeRoutes(count: number): Route[] {
  return Array.from({ length: count }, (_, number) =>
    exampleRoute({
      name: `route-${number}`,
      match: { pathPrefix: `/services/${number % 100}`, workspaces: [`workspace-${number}`] },
    }),
  );
}

export function measureRoutes(routes: number): RouteFigures {
  const rows = makeRoutes(routes);
  const index = new RouteIndex({ ...emptyConfiguration, routes: { revision: 1, rows } });
  const requests = Array.from({ length: 1000 }, (_, number) => {
    const row = (number * 7919) % routes;
    const path = `/services/${row % 100}/lookups`;
    return exampleRequest(String(number), { path, workspace: `workspace-${row}` });
  });
  const startedAt = performance.now();
  for (let number = 0; number < LOOK_UPS; number += 1) {
    const request = requests[number % requests.length];
    if (request !== undefined && findRoute(index, request).type !== 'found') {
      throw new Error(`no route for ${request.path} of ${request.workspace}`);
    }
  }
  return { routes, lookUpMicroseconds: ((performance.now() - startedAt) * 1000) / LOOK_UPS };
}

/** Least-squares slope of `y` over `x`. */
export function fitSlope(points: readonly (readonly [x: number, y: number])[]): number {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
}
