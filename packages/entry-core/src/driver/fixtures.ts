/** Configuration tables and engine rates that failure tests and measurements share. */
import {
  poolRowsSchema,
  routeRowsSchema,
  type Configuration,
  type Milliseconds,
} from '@hornbeampond/schema';
import type { EngineRates } from './SimulatedEngine.js';

export const defaultEngineRates: EngineRates = {
  tokensPerMillisecond: 0.05,
  prefillTokensPerMillisecond: 4,
  concurrency: 32,
};

export function makeConfiguration(
  wholeAnswerMilliseconds: Milliseconds,
  firstTokenMilliseconds: Milliseconds = 5000,
): Configuration {
  const pools = poolRowsSchema.parse([
    {
      name: 'engines',
      kind: 'modelEngine',
      dataCentres: ['wien-a', 'wien-b'],
      instanceClasses: [{ name: 'gpu', eurosPerHour: 1, reclaimable: true, concurrency: 32 }],
      least: 1,
      most: 100,
    },
    {
      name: 'bookings',
      kind: 'plainService',
      dataCentres: ['wien-a', 'wien-b'],
      instanceClasses: [{ name: 'small', eurosPerHour: 1, reclaimable: true, concurrency: 32 }],
      least: 1,
      most: 100,
    },
  ]);
  const routes = routeRowsSchema.parse([
    {
      name: 'chat',
      match: { pathPrefix: '/v1/chat' },
      pool: 'engines',
      idempotent: true,
      timeZone: 'Europe/Vienna',
      deadline: { firstTokenMilliseconds, wholeAnswerMilliseconds },
    },
    ...['reservations', 'lookups'].map((name) => ({
      name,
      match: { pathPrefix: `/${name}` },
      pool: 'bookings',
      idempotent: name === 'lookups',
      timeZone: 'Africa/Dakar',
      deadline: { firstTokenMilliseconds, wholeAnswerMilliseconds },
    })),
  ]);
  return {
    revision: 1,
    routes: { revision: 1, rows: routes },
    pools: { revision: 1, rows: pools },
  };
}

/** The same tables with routes whose calls may not be repeated and are not claimed. */
export function makeOnceOnlyConfiguration(wholeAnswerMilliseconds: Milliseconds): Configuration {
  const configuration = makeConfiguration(wholeAnswerMilliseconds);
  const onceOnly = { idempotent: false, claimed: false };
  const rows = configuration.routes.rows.map((route) => ({ ...route, ...onceOnly }));
  return { ...configuration, routes: { ...configuration.routes, rows } };
}
