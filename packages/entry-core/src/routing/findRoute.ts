/**
 * Finds the route of a request among those that match its host, path prefix and model. The most
 * specific wins: one that names the host, then the longest prefix, then one that names the model.
 */
import type { Route } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import type { RouteIndex } from './RouteIndex.js';

/** The route, or why the workspace has none: nothing matches, or all matches exclude it. */
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
