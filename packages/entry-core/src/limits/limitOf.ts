/** The concurrency limit of a workspace on a route, and the key under which its requests count. */
import type { Route } from '@hornbeampond/schema';

export function limitKey(route: string, workspace: string): string {
  return `${route}/${workspace}`;
}

export function limitOf({ limits }: Route, workspace: string): number {
  return limits.workspaces[workspace] ?? limits.inProgressPerWorkspace;
}
