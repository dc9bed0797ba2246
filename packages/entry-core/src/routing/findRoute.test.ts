import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { emptyConfiguration, type Route } from '@hornbeampond/schema';
import { exampleRequest, exampleRoute } from '../testing/examples.js';
import { findRoute, type FoundRoute } from './findRoute.js';
import { RouteIndex } from './RouteIndex.js';

function makeIndex(rows: readonly Route[]): RouteIndex {
  return new RouteIndex({ ...emptyConfiguration, routes: { revision: 1, rows } });
}

/** Reference implementation: a scan over all rows. */
function findByScan(
  rows: readonly Route[],
  path: string,
  workspace: string,
  model?: string,
): FoundRoute {
  const matching = rows
    .filter((row) => path.startsWith(row.match.pathPrefix))
    .filter((row) => row.match.model === undefined || row.match.model === model)
    .sort(
      (a, b) =>
        b.match.pathPrefix.length - a.match.pathPrefix.length ||
        Number(b.match.model !== undefined) - Number(a.match.model !== undefined),
    );
  const route = matching.find(
    ({ match }) => match.workspaces.length === 0 || match.workspaces.includes(workspace),
  );
  if (route !== undefined) return { type: 'found', route };
  return { type: matching.length > 0 ? 'forbidden' : 'routeNotFound' };
}

const matches = fc.record(
  {
    pathPrefix: fc.constantFrom('/', '/v1', '/v1/chat', '/v1/chat/completions', '/seats'),
    workspaces: fc.subarray(['kartenwerk-a', 'kartenwerk-b', 'rails']),
    model: fc.constantFrom('appraiser', 'assistant'),
  },
  { requiredKeys: ['pathPrefix', 'workspaces'] },
);

test('the index finds the same route as a scan over all rows', () => {
  fc.assert(
    fc.property(
      fc.array(matches, { maxLength: 12 }),
      fc.constantFrom('/v1/chat/completions', '/v1/chat', '/seats/7', '/other'),
      fc.constantFrom('kartenwerk-a', 'kartenwerk-b', 'stranger'),
      fc.option(fc.constantFrom('appraiser', 'assistant'), { nil: undefined }),
      (found, path, workspace, model) => {
        const rows = found.map((match, number) => exampleRoute({ name: `route-${number}`, match }));
        const request = exampleRequest('one', { path, workspace, model });
        assert.deepEqual(
          findRoute(makeIndex(rows), request),
          findByScan(rows, path, workspace, model),
        );
      },
    ),
    { seed: 5, numRuns: 500 },
  );
});
