import { test } from 'node:test';
import { reduceConfigurationBootstrap, type ConfigurationState } from '@hornbeampond/entry-core';
import type { Configuration, PutTableCommand } from '@hornbeampond/schema';
import { takeSnapshot } from '@hornbeampond/store-core';
import { expectCaught, expectHolds } from './expectModel.js';
import { makeTablesModel, realTablesParts, type TablesBounds } from './tablesModel.js';
import { walkModel } from './walkModel.js';

function pool(name: string, most = 4): unknown {
  const instanceClass = { name: 'small', eurosPerHour: 0.1, reclaimable: true, concurrency: 8 };
  const instanceClasses = [instanceClass];
  return { name, kind: 'plainService', dataCentres: ['wien-a'], instanceClasses, least: 1, most };
}

function route(name: string, to: string): unknown {
  const deadline = { firstTokenMilliseconds: 500, wholeAnswerMilliseconds: 2000 };
  const match = { pathPrefix: `/${name}` };
  return { name, match, pool: to, idempotent: false, timeZone: 'Europe/Vienna', deadline };
}

function put(
  table: 'routes' | 'pools',
  baseRevision: number,
  changeId: string,
  rows: readonly unknown[],
): PutTableCommand {
  return { type: 'putTable', table, baseRevision, changeId, rows };
}

// Two operators race on each revision; one change breaks the join, one reuses another's change id.
const changes: readonly PutTableCommand[] = [
  put('pools', 0, 'anna-1', [pool('buylist'), pool('offers')]),
  put('pools', 0, 'bela-1', [pool('offers'), pool('buylist')]),
  put('routes', 0, 'anna-2', [route('offers', 'offers')]),
  put('pools', 1, 'bela-2', [pool('buylist', 9)]),
  put('routes', 2, 'anna-2', [route('lots', 'buylist'), route('offers', 'offers')]),
  put('pools', 1, 'bela-3', [pool('buylist', 7), pool('fresh'), pool('offers')]),
  put('pools', 2, 'anna-3', [pool('offers', 5), pool('fresh')]),
  put('routes', 2, 'bela-4', [route('lots', 'offers'), route('prices', 'offers')]),
];
const race: TablesBounds = { changes: changes.slice(0, 6), instances: 1, restarts: 1 };
const pushes: TablesBounds = {
  changes: [...changes.slice(0, 3), ...changes.slice(5, 7)],
  instances: 2,
  restarts: 0,
};
const cutOff: TablesBounds = {
  changes: changes.slice(0, 3),
  instances: 3,
  restarts: 0,
  cutOffStarts: 2,
};
const manyChanges: TablesBounds = {
  changes: [
    ...changes,
    put('pools', 3, 'bela-6', [pool('offers', 6), pool('buylist')]),
    put('pools', 4, 'anna-5', [pool('offers'), pool('fresh', 2)]),
    put('routes', 4, 'anna-4', [route('prices', 'offers'), route('lots', 'fresh')]),
    put('pools', 5, 'bela-5', [pool('offers'), pool('buylist', 3), pool('later')]),
  ],
  instances: 3,
  restarts: 2,
  cutOffStarts: 2,
};

test('tables: operators race and resend, the log restarts, one instance follows', (context) => {
  expectHolds(context, makeTablesModel(race));
});

test('tables: two instances get whole configurations and deltas in any order', (context) => {
  expectHolds(context, makeTablesModel(pushes));
});

test('tables: instances restart while cut off, and start with the newest of their peers', (context) => {
  expectHolds(context, makeTablesModel(cutOff));
});

test('tables: random walks with twelve changes, three instances, two restarts', () => {
  walkModel(makeTablesModel(manyChanges), { walks: 400, mostSteps: 80, seed: 20261203 });
});

// The operator's change was accepted, its answer lost and the store restarted. He resends it and is
// told that his base is stale: by his own change, which he now takes for somebody else's.
test('tables mutation: the snapshot leaves the change ids out', (context) => {
  const parts = {
    ...realTablesParts,
    takeSnapshot: (...args: Parameters<typeof takeSnapshot>) => ({
      ...takeSnapshot(...args),
      changes: [],
    }),
  };
  const reason = 'a change that was resent got another answer';
  expectCaught(context, makeTablesModel(race, parts), reason);
});

// A price was raised and in force; then a late push from a store that lagged puts the old one back
// on one instance only.
test('tables mutation: an instance applies what comes last', (context) => {
  const parts = {
    ...realTablesParts,
    offerConfiguration: (state: ConfigurationState, configuration: Configuration) => {
      Object.assign(state, { configuration });
      return [];
    },
  };
  expectCaught(context, makeTablesModel(race, parts), 'a revision in force went back');
});

// A cut-off data centre has a new price in force; one of its entries restarts, the first peer to
// answer lags, and callers who reach the restarted entry are back at the old price.
test('tables mutation: a cut-off instance starts with the first answer', (context) => {
  const reduceStart: typeof reduceConfigurationBootstrap = (start, event) => {
    const started = reduceConfigurationBootstrap(start, event);
    if (event.type !== 'peerAnswered' || started.length > 0) return started;
    return reduceConfigurationBootstrap(start, { type: 'waitOver' });
  };
  const model = makeTablesModel(cutOff, { ...realTablesParts, reduceStart });
  expectCaught(context, model, 'a cut-off instance starts behind a peer');
});
