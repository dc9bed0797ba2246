/**
 * The cluster of the failure run: eight entries and eight controllers over four data centres, and
 * stores of which no data centre has a majority.
 */
import type { Pool, Route } from '@hornbeampond/schema';
import type { ProcessClusterOptions } from '../processes/ProcessCluster.js';
import { smallPools, smallRoutes } from '../processes/smallCluster.js';

export const dataCentres = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'] as const;

const ENGINES_PER_DATA_CENTRE = 2;

const pools: readonly Pool[] = smallPools.map((pool) => ({
  ...pool,
  dataCentres: [...dataCentres],
  least: pool.kind === 'modelEngine' ? dataCentres.length * ENGINES_PER_DATA_CENTRE : 4,
  most: 40,
}));

const routes: readonly Route[] = smallRoutes;

const engines = dataCentres.flatMap((dataCentre) =>
  Array.from({ length: ENGINES_PER_DATA_CENTRE }, (_, position) => ({
    instance: `engine-${dataCentre}-${position + 1}`,
    pool: 'appraisers',
    dataCentre,
    instanceClass: 'gpu',
    model: 'appraiser',
    tokenDelayMilliseconds: 20,
    concurrency: 16,
  })),
);

const services = dataCentres.map((dataCentre) => ({
  instance: `service-${dataCentre}`,
  pool: 'buylist',
  dataCentre,
  instanceClass: 'cpu',
}));

export const serviceNames = services.map(({ instance }) => instance);

const places = dataCentres.map((dataCentre) => ({ dataCentre }));

export function makeFailureCluster(stores: 3 | 5): ProcessClusterOptions {
  const twoEach = places.flatMap((place) => [place, place]);
  return {
    stores: [...places, ...places].slice(0, stores),
    entries: twoEach,
    controllers: twoEach,
    fakes: {
      engines,
      services,
      launches: [
        { pool: 'appraisers', kind: 'modelEngine', model: 'appraiser', tokenDelayMilliseconds: 20 },
        { pool: 'buylist', kind: 'plainService' },
      ],
    },
    pools,
    routes,
    forwarded: true,
  };
}
