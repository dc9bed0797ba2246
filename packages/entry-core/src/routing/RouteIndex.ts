/**
 * An index of one configuration: routes by host, path prefix, model and workspace, pools by name,
 * and workspaces by name and key. The cost of finding a route depends on the number of different
 * prefix lengths, not on the number of routes.
 */
import type { Configuration, Pool, Route, WorkspaceRow } from '@hornbeampond/schema';
import { LocalClock } from './LocalClock.js';

/** A route and its row in the table; among equally specific routes the first row wins. */
interface RankedRoute {
  readonly route: Route;
  readonly row: number;
}

/** The routes of one path prefix and one model. */
class RouteGroup {
  /** The first route that any workspace may use. */
  private shared: RankedRoute | undefined;

  private readonly byWorkspace = new Map<string, RankedRoute>();

  add(ranked: RankedRoute): void {
    const { workspaces } = ranked.route.match;
    if (workspaces.length === 0) this.shared ??= ranked;
    for (const workspace of workspaces) {
      if (!this.byWorkspace.has(workspace)) this.byWorkspace.set(workspace, ranked);
    }
  }

  find(workspace: string): Route | undefined {
    const forWorkspace = this.byWorkspace.get(workspace);
    if (forWorkspace === undefined || this.shared === undefined)
      return (forWorkspace ?? this.shared)?.route;
    return forWorkspace.row < this.shared.row ? forWorkspace.route : this.shared.route;
  }
}

/** The routes of one path prefix. */
interface PrefixRoutes {
  readonly byModel: Map<string, RouteGroup>;
  readonly anyModel: RouteGroup | undefined;
}

/** Unambiguous, because a host never contains a slash and a path prefix starts with one. */
function prefixKey(host: string | undefined, pathPrefix: string): string {
  return `${host ?? ''}${pathPrefix}`;
}

function groupByPrefix(rows: readonly Route[]): Map<string, PrefixRoutes> {
  const prefixes = new Map<string, PrefixRoutes>();
  rows.forEach((route, row) => {
    const { host, pathPrefix, model } = route.match;
    const key = prefixKey(host, pathPrefix);
    const existing = prefixes.get(key) ?? { byModel: new Map(), anyModel: undefined };
    const existingGroup = model === undefined ? existing.anyModel : existing.byModel.get(model);
    const group = existingGroup ?? new RouteGroup();
    group.add({ route, row });
    if (model !== undefined) existing.byModel.set(model, group);
    prefixes.set(key, model === undefined ? { ...existing, anyModel: group } : existing);
  });
  return prefixes;
}

export class RouteIndex {
  readonly clock = new LocalClock();

  private readonly prefixes: Map<string, PrefixRoutes>;

  /** The distinct lengths of path prefixes, longest first. */
  private readonly lengths: readonly number[];

  private readonly pools: ReadonlyMap<string, Pool>;

  private readonly workspaces: ReadonlyMap<string, WorkspaceRow>;

  private readonly workspaceByKey: ReadonlyMap<string, string>;

  constructor(readonly configuration: Configuration) {
    this.prefixes = groupByPrefix(configuration.routes.rows);
    const { routes, whole } = configuration;
    const lengths = new Set(routes.rows.map(({ match }) => match.pathPrefix.length));
    this.lengths = [...lengths].sort((a, b) => b - a);
    this.pools = new Map(configuration.pools.rows.map((pool) => [pool.name, pool]));
    const workspaces = whole?.workspaces ?? [];
    this.workspaces = new Map(workspaces.map((workspace) => [workspace.name, workspace]));
    this.workspaceByKey = new Map(
      workspaces.flatMap(({ name, keySha256 }) => keySha256.map((key) => [key, name] as const)),
    );
  }

  workspace(name: string): WorkspaceRow | undefined {
    return this.workspaces.get(name);
  }

  /** The workspace that a key belongs to, by the SHA-256 of the key. */
  workspaceOfKey(keySha256: string): string | undefined {
    return this.workspaceByKey.get(keySha256);
  }

  pool(name: string): Pool | undefined {
    return this.pools.get(name);
  }

  /**
   * The matching groups, most specific first; those of the request's host come before all others.
   */
  *groups(path: string, model: string | undefined, host?: string): Generator<RouteGroup> {
    if (host !== undefined) yield* this.groupsForHost(host, path, model);
    yield* this.groupsForHost(undefined, path, model);
  }

  private *groupsForHost(
    host: string | undefined,
    path: string,
    model: string | undefined,
  ): Generator<RouteGroup> {
    for (const length of this.lengths) {
      if (length > path.length) continue;
      const found = this.prefixes.get(prefixKey(host, path.slice(0, length)));
      const named = model === undefined ? undefined : found?.byModel.get(model);
      if (named !== undefined) yield named;
      if (found?.anyModel !== undefined) yield found.anyModel;
    }
  }
}
