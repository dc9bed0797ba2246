/**
 * Validates the routes, pools and workspaces tables, and the references from routes to pools. The
 * command line and the state machine of the log use the same checks, so that they agree on which
 * tables are valid.
 */
import type { z } from 'zod';
import { describeIssue } from '../describeIssue.js';
import { poolRowsSchema, type Pool } from './pools.js';
import { requiresClaim, routeRowsSchema, type Route } from './routes.js';
import { workspaceRowsSchema, type WorkspaceRow } from './workspaces.js';
import type { TableName } from './Configuration.js';

/** A validation error in a table; `where` is its path, such as `routes["offers"].pool`. */
export interface Fault {
  readonly where: string;
  readonly reason: string;
}

/** The valid rows, or all faults that were found. */
export type TableCheckResult<Rows> =
  { readonly ok: true; readonly rows: Rows } | { readonly ok: false; readonly faults: Fault[] };

function describePath(table: TableName, rows: unknown, path: readonly PropertyKey[]): string {
  const [index, ...keys] = path;
  if (typeof index !== 'number') return table;
  const row: unknown = Array.isArray(rows) ? rows[index] : undefined;
  const name =
    typeof row === 'object' && row !== null && 'name' in row && typeof row.name === 'string'
      ? `"${row.name}"`
      : String(index + 1);
  const suffix = keys
    .map((key) => (typeof key === 'number' ? `[${key + 1}]` : `.${String(key)}`))
    .join('');
  return `${table}[${name}]${suffix}`;
}

function toFaults(table: TableName, rows: unknown, error: z.ZodError): Fault[] {
  return error.issues.map((issue) => ({
    where: describePath(table, rows, issue.path),
    reason: describeIssue(issue),
  }));
}

function findDuplicateNames(table: TableName, names: readonly string[]): Fault[] {
  const seenNames = new Set<string>();
  return names.flatMap((name) => {
    const isDuplicate = seenNames.has(name);
    seenNames.add(name);
    return isDuplicate
      ? [{ where: `${table}["${name}"].name`, reason: 'another row has this name' }]
      : [];
  });
}

/** Checks the routes table without its references to pools. */
export function checkRoutes(rows: unknown): TableCheckResult<Route[]> {
  const parsed = routeRowsSchema.safeParse(rows);
  if (!parsed.success) return { ok: false, faults: toFaults('routes', rows, parsed.error) };
  const faults = findDuplicateNames(
    'routes',
    parsed.data.map((route) => route.name),
  );
  parsed.data.forEach((route) => {
    [route.deadline, ...route.deadlinesByHour].forEach((deadline, index) => {
      if (deadline.firstTokenMilliseconds <= deadline.wholeAnswerMilliseconds) return;
      const key = index === 0 ? 'deadline' : `deadlinesByHour[${index}]`;
      faults.push({
        where: `routes["${route.name}"].${key}`,
        reason: 'firstTokenMilliseconds is above wholeAnswerMilliseconds',
      });
    });
  });
  return faults.length > 0 ? { ok: false, faults } : { ok: true, rows: parsed.data };
}

/** Checks the pools table. */
export function checkPools(rows: unknown): TableCheckResult<Pool[]> {
  const parsed = poolRowsSchema.safeParse(rows);
  if (!parsed.success) return { ok: false, faults: toFaults('pools', rows, parsed.error) };
  const faults = findDuplicateNames(
    'pools',
    parsed.data.map((pool) => pool.name),
  );
  parsed.data.forEach((pool) => {
    const where = `pools["${pool.name}"]`;
    if (pool.least > pool.most) {
      faults.push({ where: `${where}.least`, reason: 'is above most' });
    }
    if (pool.kind === 'modelEngine' && pool.model === undefined) {
      faults.push({ where: `${where}.model`, reason: 'a pool of model engines must name a model' });
    }
    const classNames = pool.instanceClasses.map((instanceClass) => instanceClass.name);
    if (new Set(classNames).size < classNames.length) {
      faults.push({ where: `${where}.instanceClasses`, reason: 'two classes have one name' });
    }
  });
  return faults.length > 0 ? { ok: false, faults } : { ok: true, rows: parsed.data };
}

/**
 * Checks that the pools of each route exist, and that a route which requires claims does not go to
 * model engines.
 */
export function checkPoolReferences(routes: readonly Route[], pools: readonly Pool[]): Fault[] {
  const poolByName = new Map(pools.map((pool) => [pool.name, pool]));
  return routes.flatMap((route) => {
    const pool = poolByName.get(route.pool);
    const where = `routes["${route.name}"]`;
    if (pool === undefined) {
      return [{ where: `${where}.pool`, reason: `the pools table has no "${route.pool}"` }];
    }
    if (pool.kind === 'modelEngine' && requiresClaim(route)) {
      return [{ where: `${where}.idempotent`, reason: 'must be true before model engines' }];
    }
    return checkSplit(route, where, poolByName);
  });
}

function checkSplit(route: Route, where: string, poolByName: ReadonlyMap<string, Pool>): Fault[] {
  const { split } = route;
  if (split === undefined) return [];
  const unknownPools = split.filter(({ pool }) => !poolByName.has(pool));
  if (unknownPools.length > 0) {
    const reason = `the pools table has no "${unknownPools[0]?.pool}"`;
    return [{ where: `${where}.split`, reason }];
  }
  const totalWeight = split.reduce((sum, { weight }) => sum + weight, 0);
  return totalWeight > 0 ? [] : [{ where: `${where}.split`, reason: 'the weights add up to 0' }];
}

/** Checks the workspaces table; no two workspaces may share a key. */
export function checkWorkspaces(rows: unknown): TableCheckResult<WorkspaceRow[]> {
  const parsed = workspaceRowsSchema.safeParse(rows);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      where: `workspaces${issue.path.map((key) => `[${String(key)}]`).join('')}`,
      reason: describeIssue(issue),
    }));
    return { ok: false, faults };
  }
  const workspaceByKey = new Map<string, string>();
  const faults: Fault[] = [];
  parsed.data.forEach(({ name, keySha256 }) => {
    const where = `workspaces["${name}"]`;
    keySha256.forEach((key) => {
      const owner = workspaceByKey.get(key);
      if (owner === undefined) workspaceByKey.set(key, name);
      else if (owner !== name) faults.push({ where, reason: `shares a key with "${owner}"` });
    });
  });
  const names = parsed.data.map(({ name }) => name);
  if (new Set(names).size < names.length) {
    faults.push({ where: 'workspaces', reason: 'two workspaces have one name' });
  }
  return faults.length > 0 ? { ok: false, faults } : { ok: true, rows: parsed.data };
}
