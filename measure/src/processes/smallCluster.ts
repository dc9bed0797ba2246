/** A small cluster for tests: one store, two entries, one controller, two engines, one service. */
import type { Pool, Route } from '@hornbeampond/schema';
import type { ProcessClusterOptions } from './ProcessCluster.js';

const dataCentre = 'wien-a';
const limits = { inProgressPerWorkspace: 1000, workspaces: {} };

export const smallPools: readonly Pool[] = [
  {
    name: 'appraisers',
    kind: 'modelEngine',
    dataCentres: [dataCentre],
    instanceClasses: [{ name: 'gpu', eurosPerHour: 2, reclaimable: true, concurrency: 8 }],
    least: 2,
    most: 2,
    model: 'appraiser',
    checksFencing: true,
  },
  {
    name: 'buylist',
    kind: 'plainService',
    dataCentres: [dataCentre],
    instanceClasses: [{ name: 'cpu', eurosPerHour: 0.2, reclaimable: false, concurrency: 32 }],
    least: 1,
    most: 1,
    checksFencing: false,
  },
];

export const smallRoutes: readonly Route[] = [
  {
    name: 'appraisals',
    match: { pathPrefix: '/v1/chat/completions', workspaces: [] },
    pool: 'appraisers',
    idempotent: true,
    priority: 5,
    limits,
    timeZone: 'Europe/Vienna',
    deadline: { firstTokenMilliseconds: 5000, wholeAnswerMilliseconds: 30_000 },
    deadlinesByHour: [],
  },
  {
    name: 'offers',
    match: { pathPrefix: '/offers', workspaces: [] },
    pool: 'buylist',
    idempotent: false,
    priority: 1,
    limits,
    timeZone: 'Europe/Vienna',
    deadline: { firstTokenMilliseconds: 5000, wholeAnswerMilliseconds: 10_000 },
    deadlinesByHour: [],
  },
];

const engine = {
  pool: 'appraisers',
  dataCentre,
  instanceClass: 'gpu',
  model: 'appraiser',
  tokenDelayMilliseconds: 20,
};

export const smallCluster: ProcessClusterOptions = {
  stores: [{ dataCentre }],
  entries: [{ dataCentre }, { dataCentre }],
  controllers: [{ dataCentre }],
  fakes: {
    engines: [
      { ...engine, instance: 'engine-1' },
      { ...engine, instance: 'engine-2' },
    ],
    services: [{ instance: 'service-1', pool: 'buylist', dataCentre, instanceClass: 'cpu' }],
  },
  pools: smallPools,
  routes: smallRoutes,
};
