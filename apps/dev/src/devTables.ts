/** The tables and keys of the development cluster: one model route and one booking route. */
import type { Pool, Route } from '@hornbeampond/schema';

export const DEV_DATA_CENTRE = 'laptop';

/** Fixed keys; they are safe because the development cluster listens on loopback only. */
export const devKeys = { workspace: 'dev-key', operator: 'dev-operator-key' } as const;

export const devPools: readonly Pool[] = [
  {
    name: 'assistants',
    kind: 'modelEngine',
    dataCentres: [DEV_DATA_CENTRE],
    instanceClasses: [
      { name: 'fake-engine', eurosPerHour: 1, reclaimable: true, concurrency: 8 },
      { name: 'fake-engine-on-demand', eurosPerHour: 3, reclaimable: false, concurrency: 8 },
    ],
    least: 2,
    most: 4,
    model: 'dev-model',
    version: '1',
    checksFencing: true,
  },
  {
    name: 'bookings',
    kind: 'plainService',
    dataCentres: [DEV_DATA_CENTRE],
    instanceClasses: [
      { name: 'fake-service', eurosPerHour: 0.2, reclaimable: false, concurrency: 16 },
    ],
    least: 2,
    most: 2,
    checksFencing: false,
  },
];

const limits = { inProgressPerWorkspace: 100, workspaces: {} };

export const devRoutes: readonly Route[] = [
  {
    name: 'chat',
    match: { pathPrefix: '/v1/chat/completions', workspaces: [] },
    pool: 'assistants',
    idempotent: true,
    priority: 5,
    limits,
    timeZone: 'Europe/Vienna',
    deadline: { firstTokenMilliseconds: 2000, wholeAnswerMilliseconds: 60_000 },
    deadlinesByHour: [
      { from: '11:30', to: '13:30', firstTokenMilliseconds: 510, wholeAnswerMilliseconds: 30_000 },
    ],
  },
  {
    name: 'reservations',
    match: { pathPrefix: '/reservations', workspaces: [] },
    pool: 'bookings',
    idempotent: false,
    priority: 1,
    limits,
    timeZone: 'Europe/Vienna',
    deadline: { firstTokenMilliseconds: 5000, wholeAnswerMilliseconds: 10_000 },
    deadlinesByHour: [],
  },
];
