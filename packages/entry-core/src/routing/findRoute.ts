/**
 * Finds the route of a request: of those whose path prefix and model match, the longest prefix
 * wins, and a route that names the model goes before one that takes any.
 */
import type { Route } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';

/** The route, or why there is none for this workspace. */
export type FoundRoute =
  | { readonly type: 'found'; readonly route: Route }
  | { readonly type: 'routeNotFound' }
  | { readonly type: 'forbidden' };

function matches(route: Route, request: CallerRequest): boolean {
  return (
    request.path.startsWith(route.match.pathPrefix) &&
    (route.match.model === undefined || route.match.model === request.model)
  );
}

function allows(route: Route, workspace: string): boolean {
  return route.match.workspaces.length === 0 || route.match.workspaces.includes(workspace);
}

function compareSpecificity(a: Route, b: Route): number {
  return (
    b.match.pathPrefix.length - a.match.pathPrefix.length ||
    Number(b.match.model !== undefined) - Number(a.match.model !== undefined)
  );
}

export function findRoute(routes: readonly Route[], request: CallerRequest): FoundRoute {
  const matching = routes.filter((route) => matches(route, request)).sort(compareSpecificity);
  const allowed = matching.find((route) => allows(route, request.workspace));
  if (allowed !== undefined) return { type: 'found', route: allowed };
  return { type: matching.length > 0 ? 'forbidden' : 'routeNotFound' };
}
