/** Example rows and requests for tests and measurements. */
import {
  checkPools,
  checkRoutes,
  type Milliseconds,
  type Pool,
  type Route,
} from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';

/**
 * Returns a valid example route; `overrides` replaces single fields, and the schema fills in its
 * defaults.
 */
export function exampleRoute(overrides: Record<string, unknown> = {}): Route {
  const checked = checkRoutes([
    {
      name: 'appraisals',
      match: { pathPrefix: '/v1/chat' },
      pool: 'engines',
      idempotent: true,
      timeZone: 'Europe/Vienna',
      deadline: { firstTokenMilliseconds: 1000, wholeAnswerMilliseconds: 30_000 },
      ...overrides,
    },
  ]);
  if (!checked.ok) throw new Error(JSON.stringify(checked.faults));
  return checked.rows[0] as Route;
}

export function examplePool(concurrency: number): Pool {
  const checked = checkPools([
    {
      name: 'engines',
      kind: 'modelEngine',
      dataCentres: ['dc-a', 'dc-b'],
      instanceClasses: [{ name: 'large', eurosPerHour: 1, reclaimable: true, concurrency }],
      least: 0,
      most: 100_000,
      model: 'appraiser',
    },
  ]);
  if (!checked.ok) throw new Error(JSON.stringify(checked.faults));
  return checked.rows[0] as Pool;
}

/** Returns an example request; `overrides` replaces single fields. */
export function exampleRequest(
  requestId: string,
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    requestId,
    workspace: 'kartenwerk-a',
    method: 'POST',
    path: '/v1/chat/completions',
    digest: requestId,
    prefixDigests: [],
    promptTokens: 100,
    maxTokens: 100,
    ...overrides,
  };
}

/**
 * Returns the fields of a route whose first-token deadline is the given one and whose whole-answer
 * deadline is long.
 */
export function makeDeadlineFields(firstTokenMilliseconds: Milliseconds): Record<string, unknown> {
  return { deadline: { firstTokenMilliseconds, wholeAnswerMilliseconds: 600_000 } };
}
