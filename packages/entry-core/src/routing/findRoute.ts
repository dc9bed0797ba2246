/**
 * Finds the route of a request: of those whose path prefix and model match, the longest prefix
 * wins, and a route that names the model goes before one that takes any.
 */
import type { Route } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { RouteIndex } from './RouteIndex.js';

/** The route, or why there is none for this workspace. */
export type FoundRoute =
  | { readonly type: 'found'; readonly route: Route }
  | { readonly type: 'routeNotFound' }
  | { readonly type: 'forbidden' };

export function findRoute(index: RouteIndex, request: CallerRequest): FoundRoute {
  let matched = false;
  for (const group of index.groups(request.path, request.model, request.host)) {
    matched = true;
    const route = group.find(request.workspace);
    if (route !== undefined) return { type: 'found', route };
  }
  return { type: matched ? 'forbidden' : 'routeNotFound' };
}
