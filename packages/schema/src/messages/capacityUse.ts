/**
 * What is asked of a pool's capacity and how it is used, by priority and workspace. Entries report
 * their part in work reports, stores add the parts up and return the sums in digests. A message is
 * always whole, so that the next one repairs a lost one.
 *
 * The size of a message is bounded: it names the heaviest workspaces of a pool and adds up the
 * others under an empty name. Amounts are whole hundredths in parallel arrays, which keeps it small.
 */
import type { Milliseconds } from '../units.js';

/**
 * Workspaces of a pool that a message names; more are added up. With 32, sums of two pools with
 * three priorities had 3.1 KB.
 */
export const MAX_LISTED_WORKSPACES = 24;

const MIN_USE_INTERVAL_MILLISECONDS: Milliseconds = 500;
const MAX_USE_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** A rise is reported sooner: while it is not known, entries fill the servers above their slots. */
export const MIN_RISE_INTERVAL_MILLISECONDS: Milliseconds = 100;

/** With more entries the interval grows in proportion. */
const MAX_ENTRIES_AT_MIN_USE_INTERVAL = 100;

/** How often entries report their use of pools, and stores send the sums. */
export function useInterval(entryCount: number): Milliseconds {
  const interval = (MIN_USE_INTERVAL_MILLISECONDS * entryCount) / MAX_ENTRIES_AT_MIN_USE_INTERVAL;
  return Math.min(MAX_USE_INTERVAL_MILLISECONDS, Math.max(MIN_USE_INTERVAL_MILLISECONDS, interval));
}

/** Pools that a message lists. */
const MAX_LISTED_POOLS = 16;

/** The name under which the workspaces that are not listed are added up. */
export const OTHER_WORKSPACES = '';

const MAX_PRIORITY = 9;

/** Amounts are sent in units of 1 / this. */
const PARTS = 100;

/** What one workspace asks of a pool, and has of it, at one priority. */
export interface UseCell {
  readonly priority: number;
  readonly workspace: string;
  /** Requests that arrive per second. */
  readonly offered: number;
  /** Slots that the arriving requests would keep busy. */
  readonly work: number;
  /** Requests in progress at backend servers. */
  readonly running: number;
  /** Requests queued at entries. */
  readonly queued: number;
}

/** The use of one pool. */
export interface PoolUse {
  readonly pool: string;
  readonly cells: readonly UseCell[];
  /** Tokens of prompts and answers of all running requests. */
  readonly tokens: number;
}

/** The use of one pool as it is sent; the arrays have one element for each cell. */
export interface PackedPoolUse {
  readonly pool: string;
  readonly tokens: number;
  /** Names that `workspace` refers to by position. */
  readonly workspaces: readonly string[];
  readonly priority: readonly number[];
  readonly workspace: readonly number[];
  /** Requests per second, in hundredths. */
  readonly offered: readonly number[];
  /** Slots, in hundredths. */
  readonly work: readonly number[];
  readonly running: readonly number[];
  readonly queued: readonly number[];
}

/** The pools of which something is asked; an empty list takes back what was reported before. */
export interface CapacityUse {
  readonly pools: readonly PackedPoolUse[];
}

/** How the capacity of a contended pool is divided, for operators. */
export interface ContendedPool {
  readonly pool: string;
  readonly slots: number;
  /** Slots that would serve all that is asked of the pool. */
  readonly demand: number;
  readonly running: number;
  /** Age of the sums behind it. */
  readonly ageOfSums: Milliseconds;
  readonly users: readonly CapacityUser[];
  /** Slots of each server that a priority leaves free for more urgent ones, by priority. */
  readonly keptPerServer: readonly number[];
}

/** What one workspace has of a contended pool at one priority. */
export interface CapacityUser {
  readonly priority: number;
  readonly workspace: string;
  readonly demand: number;
  readonly share: number;
  readonly running: number;
  readonly queued: number;
  /** Fraction of its requests that is admitted even while no slot is free. */
  readonly admitted: number;
}

export function cellKey({ priority, workspace }: Pick<UseCell, 'priority' | 'workspace'>): string {
  return `${priority}/${workspace}`;
}

/** Adds cells of the same priority and workspace together. */
export function addCells(cells: Iterable<UseCell>): UseCell[] {
  const sums = new Map<string, UseCell>();
  for (const cell of cells) {
    const key = cellKey(cell);
    const sum = sums.get(key);
    sums.set(
      key,
      sum === undefined
        ? cell
        : {
            ...cell,
            offered: sum.offered + cell.offered,
            work: sum.work + cell.work,
            running: sum.running + cell.running,
            queued: sum.queued + cell.queued,
          },
    );
  }
  return [...sums.values()];
}

function findHeaviestWorkspaces(cells: readonly UseCell[]): ReadonlySet<string> {
  const weights = new Map<string, number>();
  cells.forEach(({ workspace, offered, work, running, queued }) => {
    const weight = Math.max(work, running) + queued + offered / PARTS;
    weights.set(workspace, (weights.get(workspace) ?? 0) + weight);
  });
  weights.delete(OTHER_WORKSPACES);
  const heaviestFirst = [...weights].sort(
    ([a, weightA], [b, weightB]) => weightB - weightA || a.localeCompare(b),
  );
  return new Set(heaviestFirst.slice(0, MAX_LISTED_WORKSPACES).map(([workspace]) => workspace));
}

/** Adds up the workspaces beyond the heaviest ones under the empty name. */
export function boundCells(cells: readonly UseCell[]): UseCell[] {
  const listed = findHeaviestWorkspaces(cells);
  return addCells(
    cells.map((cell) =>
      listed.has(cell.workspace) ? cell : { ...cell, workspace: OTHER_WORKSPACES },
    ),
  );
}

function isPresent({ offered, work, running, queued }: UseCell): boolean {
  return running > 0 || queued > 0 || Math.round(Math.max(offered, work) * PARTS) > 0;
}

function packPool({ pool, cells, tokens }: PoolUse): PackedPoolUse {
  const present = boundCells(cells).filter(isPresent);
  const workspaces = [...new Set(present.map(({ workspace }) => workspace))];
  const positions = new Map(workspaces.map((workspace, position) => [workspace, position]));
  return {
    pool,
    tokens: Math.round(tokens),
    workspaces,
    priority: present.map(({ priority }) => priority),
    workspace: present.map(({ workspace }) => positions.get(workspace) ?? 0),
    offered: present.map(({ offered }) => Math.round(offered * PARTS)),
    work: present.map(({ work }) => Math.round(work * PARTS)),
    running: present.map(({ running }) => running),
    queued: present.map(({ queued }) => queued),
  };
}

export function packUse(pools: readonly PoolUse[]): CapacityUse {
  return { pools: pools.slice(0, MAX_LISTED_POOLS).map(packPool) };
}

/** An amount of a message; what is no amount counts as nothing. */
function readAmount(amounts: readonly number[], position: number): number {
  const amount = amounts[position] ?? 0;
  return Number.isFinite(amount) && amount > 0 ? amount : 0;
}

function unpackPool(packed: PackedPoolUse): PoolUse {
  const cells = packed.priority.map((priority, position) => ({
    priority: Math.min(MAX_PRIORITY, Math.max(0, Math.trunc(priority))),
    workspace: packed.workspaces[packed.workspace[position] ?? -1] ?? OTHER_WORKSPACES,
    offered: readAmount(packed.offered, position) / PARTS,
    work: readAmount(packed.work, position) / PARTS,
    running: readAmount(packed.running, position),
    queued: readAmount(packed.queued, position),
  }));
  return { pool: packed.pool, cells: addCells(cells), tokens: readAmount([packed.tokens], 0) };
}

export function unpackUse({ pools }: CapacityUse): PoolUse[] {
  return pools.map(unpackPool);
}
