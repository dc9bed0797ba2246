/**
 * Computes what each priority and workspace may use of a pool, from the sums over all entries.
 * Priorities receive what they demand in order of urgency; the first one that cannot have all is
 * divided among its workspaces by max-min fairness.
 */
import { cellKey, OTHER_WORKSPACES, type Milliseconds, type UseCell } from '@hornbeampond/schema';
import { fillMaxMin } from './fillMaxMin.js';

/**
 * More is admitted than the slots can take by this fraction, because a slot that becomes free is
 * used without delay only if its entry has a request queued. With a tenth more of only what urgent
 * priorities leave, 0.09 fewer requests of the least urgent one were served.
 */
const ADMITTED_FRACTION_OF_SLOTS = 1.1;

/** Below this utilization of the servers, demands are overestimated and more is admitted. */
const MIN_EXPECTED_UTILIZATION = 0.9;
const MAX_CORRECTION_FACTOR = 2;

/** Requests queued at entries are to be served within this time. */
const QUEUE_SERVICE_MILLISECONDS: Milliseconds = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** A pool stays contended until its demand is below this fraction of its slots. */
const UNCONTENDED_FRACTION_OF_SLOTS = 0.9;

/**
 * A pool becomes contended only if this fraction of its slots is taken or waited for, and stays so
 * only above the second one. Guards against demands that are overestimated.
 */
const MIN_TAKEN_FRACTION_TO_BECOME_CONTENDED = 0.85;
const MIN_TAKEN_FRACTION_TO_STAY_CONTENDED = 0.6;

/**
 * Information on new requests of the others is this old at most, as a rule. Where requests take less,
 * slots become free sooner and need not be kept as long.
 */
const MAX_KEPT_FOR_MILLISECONDS: Milliseconds = 300;

/** Priorities run from 0, the most urgent, to 9. */
const PRIORITY_COUNT = 10;

export interface ShareInputs {
  readonly cells: readonly UseCell[];
  /** Slots of all servers of the pool. */
  readonly slots: number;
  readonly servers: number;
  /** Requests in progress at the servers, if it is known from newer messages than the cells. */
  readonly running?: number;
  /** True if the pool was contended when its shares were computed before. */
  readonly wasContended: boolean;
}

export interface CellShare extends UseCell {
  /** Slots that would serve all that is offered and queued. */
  readonly demand: number;
  /** Slots that may be used, of the slots that are divided. */
  readonly share: number;
  /** Fraction of the arrivals that is admitted even while no slot is free. */
  readonly fraction: number;
}

/** The sums over all workspaces of a priority. */
export interface PriorityShare {
  readonly demand: number;
  readonly share: number;
  readonly running: number;
  readonly queued: number;
  /** Fraction of the arrivals that is admitted, for workspaces without a cell of their own. */
  readonly unlistedFraction: number;
  /** Slots of each server that it leaves free for more urgent priorities, on average. */
  readonly keptPerServer: number;
}

export interface PoolShares {
  readonly isContended: boolean;
  readonly slots: number;
  readonly demand: number;
  readonly running: number;
  /** Mean time that a request keeps a slot; 0 if it is not known. */
  readonly serviceMilliseconds: Milliseconds;
  /** One element for each priority. */
  readonly priorities: readonly PriorityShare[];
  /** By `cellKey`. */
  readonly cells: ReadonlyMap<string, CellShare>;
}

function sumOf<Item>(items: readonly Item[], read: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}

/** Slots that serve the arriving requests, and the queued ones within `QUEUE_SERVICE_MILLISECONDS`. */
export function computeOfferedWork({ offered, work, queued }: UseCell): number {
  const serviceMilliseconds =
    offered > 0 ? (MILLISECONDS_PER_SECOND * work) / offered : QUEUE_SERVICE_MILLISECONDS;
  return work + (queued * serviceMilliseconds) / QUEUE_SERVICE_MILLISECONDS;
}

function computeDemand(cell: UseCell): number {
  return computeOfferedWork(cell) + Math.max(0, cell.running - cell.work);
}

function isPoolContended(
  { cells, slots, wasContended }: ShareInputs,
  demand: number,
  running: number,
): boolean {
  const taken = running + sumOf(cells, ({ queued }) => queued);
  return wasContended
    ? demand >= UNCONTENDED_FRACTION_OF_SLOTS * slots &&
        taken >= MIN_TAKEN_FRACTION_TO_STAY_CONTENDED * slots
    : demand > slots && taken >= MIN_TAKEN_FRACTION_TO_BECOME_CONTENDED * slots;
}

/** Slots that are divided; more than there are if servers run less than was expected. */
function computeDividedSlots({ slots }: ShareInputs, running: number): number {
  const utilization = Math.max(running / slots, MIN_EXPECTED_UTILIZATION / MAX_CORRECTION_FACTOR);
  const correction = Math.max(1, MIN_EXPECTED_UTILIZATION / utilization);
  return slots * ADMITTED_FRACTION_OF_SLOTS * correction;
}

function shareCells(cells: readonly UseCell[], available: number): CellShare[] {
  const demands = cells.map(computeDemand);
  const isShort = sumOf(demands, (demand) => demand) > available;
  const shares = isShort ? fillMaxMin(demands, available) : demands;
  return cells.map(({ priority, workspace, offered, work, running, queued }, position) => {
    const demand = demands[position] ?? 0;
    const share = shares[position] ?? 0;
    const fraction = demand > 0 ? Math.min(1, share / demand) : 1;
    const amounts = { offered, work, running, queued };
    return { priority, workspace, ...amounts, demand, share, fraction };
  });
}

function groupByPriority(cells: readonly UseCell[]): UseCell[][] {
  const groups = Array.from({ length: PRIORITY_COUNT }, (): UseCell[] => []);
  cells.forEach((cell) => groups[cell.priority]?.push(cell));
  return groups;
}

function computeServiceTime(cells: readonly UseCell[]): Milliseconds {
  const offered = sumOf(cells, (cell) => cell.offered);
  return offered > 0 ? (MILLISECONDS_PER_SECOND * sumOf(cells, ({ work }) => work)) / offered : 0;
}

/** Admitted requests per second. */
function countAdmitted(cells: readonly CellShare[]): number {
  return sumOf(cells, ({ offered, fraction }) => offered * fraction);
}

export function computeShares(inputs: ShareInputs): PoolShares {
  const { cells: useCells, slots, servers } = inputs;
  const demand = sumOf(useCells, computeDemand);
  const running = inputs.running ?? sumOf(useCells, (cell) => cell.running);
  const cells = new Map<string, CellShare>();
  const serviceMilliseconds = computeServiceTime(useCells);
  const keptFor = Math.min(MAX_KEPT_FOR_MILLISECONDS, serviceMilliseconds);
  let left = slots > 0 ? computeDividedSlots(inputs, running) : 0;
  let urgentRate = 0;
  const priorities = groupByPriority(useCells).map((ofPriority): PriorityShare => {
    const shares = shareCells(ofPriority, left);
    shares.forEach((share) => cells.set(cellKey(share), share));
    const others = shares.find(({ workspace }) => workspace === OTHER_WORKSPACES);
    const keptSlots = (urgentRate * keptFor) / MILLISECONDS_PER_SECOND;
    const unlistedFraction = others?.fraction ?? (left > 0 ? 1 : 0);
    left = Math.max(0, left - sumOf(shares, ({ share }) => share));
    urgentRate += countAdmitted(shares);
    return {
      demand: sumOf(shares, (share) => share.demand),
      share: sumOf(shares, ({ share }) => share),
      running: sumOf(shares, (share) => share.running),
      queued: sumOf(shares, ({ queued }) => queued),
      unlistedFraction,
      keptPerServer: keptSlots / Math.max(1, servers),
    };
  });
  const isContended = slots > 0 && isPoolContended(inputs, demand, running);
  return { isContended, slots, demand, running, serviceMilliseconds, priorities, cells };
}

/** Fraction of the arrivals of a workspace that is admitted even while no slot is free. */
export function findFraction(shares: PoolShares, priority: number, workspace: string): number {
  const cell = shares.cells.get(cellKey({ priority, workspace }));
  return cell?.fraction ?? shares.priorities[priority]?.unlistedFraction ?? 1;
}
