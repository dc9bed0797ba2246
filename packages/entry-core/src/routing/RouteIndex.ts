/**
 * Both tables prepared for looking up: routes by path prefix, model and workspace, and pools by
 * name. It is built once for a configuration, so that the cost of finding a route does not grow
 * with the number of routes but with the number of different prefix lengths.
 */
import type { Configuration, Pool, Route } from '@hornbeampond/schema';
import { LocalClock } from './LocalClock.js';

/** A route and its place in the table: among equally specific routes the first one wins. */
interface Ranked {
  readonly route: Route;
  readonly row: number;
}

/** The routes of one path prefix and one model. */
class RouteGroup {
  private open: Ranked | undefined;

  private readonly byWorkspace = new Map<string, Ranked>();

  add(ranked: Ranked): void {
    const { workspaces } = ranked.route.match;
    if (workspaces.length === 0) this.open ??= ranked;
    for (const workspace of workspaces) {
      if (!this.byWorkspace.has(workspace)) this.byWorkspace.set(workspace, ranked);
    }
  }

  find(workspace: string): Route | undefined {
    const named = this.byWorkspace.get(workspace);
    if (named === undefined || this.open === undefined) return (named ?? this.open)?.route;
    return named.row < this.open.row ? named.route : this.open.route;
  }
}

/** The routes of one path prefix. */
interface PrefixRoutes {
  readonly byModel: Map<string, RouteGroup>;
  readonly anyModel: RouteGroup | undefined;
}

function groupByPrefix(rows: readonly Route[]): Map<string, PrefixRoutes> {
  const prefixes = new Map<string, PrefixRoutes>();
  rows.forEach((route, row) => {
    const { pathPrefix, model } = route.match;
    const known = prefixes.get(pathPrefix) ?? { byModel: new Map(), anyModel: undefined };
    const old = model === undefined ? known.anyModel : known.byModel.get(model);
    const group = old ?? new RouteGroup();
    group.add({ route, row });
    if (model !== undefined) known.byModel.set(model, group);
    prefixes.set(pathPrefix, model === undefined ? { ...known, anyModel: group } : known);
  });
  return prefixes;
}

export class RouteIndex {
  readonly clock = new LocalClock();

  private readonly prefixes: Map<string, PrefixRoutes>;

  /** Different lengths of prefixes, longest first. */
  private readonly lengths: readonly number[];

  private readonly pools: ReadonlyMap<string, Pool>;

  constructor(readonly configuration: Configuration) {
    this.prefixes = groupByPrefix(configuration.routes.rows);
    const lengths = new Set([...this.prefixes.keys()].map((prefix) => prefix.length));
    this.lengths = [...lengths].sort((a, b) => b - a);
    this.pools = new Map(configuration.pools.rows.map((pool) => [pool.name, pool]));
  }

  pool(name: string): Pool | undefined {
    return this.pools.get(name);
  }

  /** The groups that match, most specific first. */
  *groups(path: string, model: string | undefined): Generator<RouteGroup> {
    for (const length of this.lengths) {
      if (length > path.length) continue;
      const found = this.prefixes.get(path.slice(0, length));
      const named = model === undefined ? undefined : found?.byModel.get(model);
      if (named !== undefined) yield named;
      if (found?.anyModel !== undefined) yield found.anyModel;
    }
  }
}
