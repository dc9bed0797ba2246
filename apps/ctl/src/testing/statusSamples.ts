/** Sample documents of the operators' port for tests of the command line. */
import type { EntryStatus, PlanRow } from '../OperatorClient.js';

const store = {
  term: 3,
  leader: 'store-1',
  commitIndex: 41,
  appliedIndex: 41,
  voters: ['store-1', 'store-2', 'store-3'],
  learners: [],
  readOnly: false,
  configurationRevision: 8,
  instances: [
    { instance: 'entry-a-1', dataCentre: 'a', role: 'entry', revision: 8, cutOff: false },
    { instance: 'entry-b-1', dataCentre: 'b', role: 'entry', revision: 6, cutOff: true },
    { instance: 'controller-a-1', dataCentre: 'a', role: 'controller', revision: 7, cutOff: false },
  ],
  leases: [{ lease: 'controller/a', holder: 'controller-a-1/k2', epoch: 5 }],
  claims: 2,
  quarantine: [],
} as const;

const capacityUser = { priority: 0, running: 4, queued: 3, admitted: 0.3 } as const;

export const sampleStatus: EntryStatus = {
  instance: 'entry-a-1',
  dataCentre: 'a',
  ready: true,
  cutOff: false,
  configurationRevision: 8,
  openStreams: 3,
  backendServers: [
    {
      instance: 'engine-1',
      pool: 'assistants',
      dataCentre: 'a',
      state: 'live',
      inProgress: 2,
      eurosPerHour: 1.5,
      speed: { stated: 2.5, statedAge: 180, trust: 0.8, learnt: 1.43, samples: 211.6, used: 2.9 },
    },
    {
      instance: 'engine-2',
      pool: 'assistants',
      dataCentre: 'b',
      state: 'leaving',
      inProgress: 1,
      eurosPerHour: 1.5,
      speed: { used: 1 },
    },
    {
      instance: 'service-1',
      pool: 'bookings',
      dataCentre: 'a',
      state: 'live',
      inProgress: 0,
      eurosPerHour: 0.2,
    },
    { instance: 'unpriced-1', pool: 'bookings', dataCentre: 'a', state: 'live', inProgress: 0 },
  ],
  contendedPools: [
    {
      pool: 'assistants',
      slots: 24,
      demand: 61,
      running: 24,
      ageOfSums: 340,
      users: [
        { ...capacityUser, workspace: 'kiosk', demand: 6, share: 6, running: 6, admitted: 1 },
        { ...capacityUser, priority: 2, workspace: 'laden', demand: 50, share: 15, running: 14 },
        { ...capacityUser, priority: 2, workspace: '', demand: 5, share: 5, admitted: 1 },
      ],
      keptPerServer: [0, 0.4, 0.4],
    },
  ],
  refusals: { limitReached: 2, deadlineUnreachable: 17 },
  retries: { backendServerLost: 1 },
  recomputedTokens: { reclaimResume: 480 },
  stores: [
    { ...store, instance: 'store-1', role: 'leader' },
    { ...store, instance: 'store-2', role: 'follower', appliedIndex: 40 },
    {
      ...store,
      instance: 'store-3',
      role: 'follower',
      readOnly: true,
      commitIndex: 12,
      appliedIndex: 12,
    },
  ],
};

const planRow = {
  pool: 'assistants',
  dataCentre: 'a',
  instanceClass: 'small',
  reclaimable: true,
  eurosPerHour: 0.5,
  missingSlots: 0,
} as const;

export const samplePlan: readonly PlanRow[] = [
  {
    ...planRow,
    wanted: 3,
    present: 2,
    serving: 2,
    action: 'buy',
    reason: 'the cheapest safe place for what is lacking',
  },
  {
    ...planRow,
    dataCentre: 'b',
    wanted: 0,
    present: 1,
    serving: 1,
    action: 'drain',
    reason: 'not needed, or cheaper elsewhere; drained once safe',
  },
  {
    ...planRow,
    pool: 'bookings',
    reclaimable: false,
    eurosPerHour: 2,
    wanted: 1,
    present: 1,
    serving: 0,
    action: 'keep',
    reason: 'as planned',
    missingSlots: 4,
  },
];
