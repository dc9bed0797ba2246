/** Runs work on a cluster of real processes and ends them whatever comes of it. */
import type { Pool, Route } from '@hornbeampond/schema';
import { ProcessCluster, type ProcessClusterOptions } from '../processes/ProcessCluster.js';

const dataCentre = 'wien-a';
const DEADLINE_MILLISECONDS = 30_000;
const CONCURRENCY = 1000;

export async function withCluster<Result>(
  options: ProcessClusterOptions,
  work: (cluster: ProcessCluster) => Promise<Result>,
): Promise<Result> {
  const cluster = await ProcessCluster.start(options);
  try {
    return await work(cluster);
  } finally {
    await cluster.stop();
  }
}

/** `count` places in one data centre. */
export function places(count: number): { readonly dataCentre: string }[] {
  return Array.from({ length: count }, () => ({ dataCentre }));
}

/** A pool that is as large as the fakes that are listed for it, so that nothing is bought. */
export function makePool(name: string, kind: Pool['kind'], size: number): Pool {
  return {
    name,
    kind,
    dataCentres: [dataCentre],
    instanceClasses: [
      { name: 'standard', eurosPerHour: 1, reclaimable: false, concurrency: CONCURRENCY },
    ],
    least: size,
    most: size,
    ...(kind === 'modelEngine' ? { model: name } : {}),
    checksFencing: true,
  };
}

export interface RouteInput {
  readonly name: string;
  readonly pathPrefix: string;
  readonly pool: string;
  readonly idempotent?: boolean;
  readonly model?: string;
}

export function makeRoute({ name, pathPrefix, pool, idempotent = true, model }: RouteInput): Route {
  return {
    name,
    match: { pathPrefix, workspaces: [], ...(model === undefined ? {} : { model }) },
    pool,
    idempotent,
    priority: 5,
    limits: { inProgressPerWorkspace: 100_000, workspaces: {} },
    timeZone: 'Europe/Vienna',
    deadline: {
      firstTokenMilliseconds: DEADLINE_MILLISECONDS,
      wholeAnswerMilliseconds: DEADLINE_MILLISECONDS,
    },
    deadlinesByHour: [],
  };
}

/** Where the fake server of a pool is listed. */
export function makePlace(pool: string, number: number) {
  return { instance: `${pool}-${number}`, pool, dataCentre, instanceClass: 'standard' };
}
