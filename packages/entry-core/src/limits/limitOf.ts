/** The limit of one workspace on one route, and the key that its requests count under. */
import type { Route } from '@hornbeampond/schema';

export function limitKey(route: string, workspace: string): string {
  return `${route}/${workspace}`;
}

export function limitOf({ limits }: Route, workspace: string): number {
  return limits.workspaces[workspace] ?? limits.inProgressPerWorkspace;
}
