/**
 * Adds up what entries report of the use of pools. Keeps the last report of each entry, so that its
 * part can be replaced or removed; a report that is not renewed expires, as that of a frozen entry.
 */
import type { Milliseconds, MonotonicMilliseconds } from '../units.js';
import {
  addCells,
  MIN_RISE_INTERVAL_MILLISECONDS,
  packUse,
  unpackUse,
  useInterval,
  type CapacityUse,
  type PoolUse,
  type UseCell,
} from './capacityUse.js';
import type { WorkReport } from './entryMessages.js';

/** Sums that have risen by this factor are sent without waiting for the interval. */
const RISE_FACTOR = 1.2;

const EXPIRY_MILLISECONDS: Milliseconds = 3000;

interface EntryUse {
  readonly incarnation: number;
  readonly sequence: number | undefined;
  readonly receivedAt: MonotonicMilliseconds;
  readonly pools: readonly PoolUse[];
  /** Slots that all arriving requests would keep busy. */
  readonly work: number;
}

function sumWork(pools: readonly PoolUse[]): number {
  const cells = pools.flatMap((use) => use.cells);
  return cells.reduce((sum, { work }) => sum + work, 0);
}

export class UseTotals {
  private readonly entries = new Map<string, EntryUse>();

  private hasChanged = false;

  private takenWork = 0;

  private takenAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** Number of entries whose use is included. */
  get size(): number {
    return this.entries.size;
  }

  /** Applies a report, unless it has no `use` or a later one of the entry has arrived before it. */
  apply(
    { instance, incarnation, sequence, use }: WorkReport,
    receivedAt: MonotonicMilliseconds,
  ): void {
    if (use === undefined) return;
    const known = this.entries.get(instance);
    if (known !== undefined) {
      if (incarnation < known.incarnation) return;
      const isSameRun = incarnation === known.incarnation;
      if (isSameRun && (sequence ?? Infinity) <= (known.sequence ?? 0)) return;
    }
    const pools = unpackUse(use);
    const work = sumWork(pools);
    this.entries.set(instance, { incarnation, sequence, receivedAt, pools, work });
    this.hasChanged = true;
  }

  /** Removes the part of an entry that has ended or cannot be reached. */
  remove(instance: string): void {
    if (this.entries.delete(instance)) this.hasChanged = true;
  }

  /** The sums by pool. */
  sum(now: MonotonicMilliseconds): PoolUse[] {
    this.expire(now);
    const cells = new Map<string, UseCell[]>();
    const tokens = new Map<string, number>();
    this.entries.forEach(({ pools }) =>
      pools.forEach((use) => {
        const ofPool = cells.get(use.pool) ?? [];
        ofPool.push(...use.cells);
        cells.set(use.pool, ofPool);
        tokens.set(use.pool, (tokens.get(use.pool) ?? 0) + use.tokens);
      }),
    );
    return [...cells].map(([pool, ofPool]) => ({
      pool,
      cells: addCells(ofPool),
      tokens: tokens.get(pool) ?? 0,
    }));
  }

  /** The sums as a message, or undefined if they are not due or have not changed. */
  takeSums(now: MonotonicMilliseconds): CapacityUse | undefined {
    if (!this.hasChanged && this.size === 0) return undefined;
    const work = this.totalWork();
    const interval =
      work > RISE_FACTOR * this.takenWork ? MIN_RISE_INTERVAL_MILLISECONDS : useInterval(this.size);
    if (now - this.takenAt < interval) return undefined;
    this.expire(now);
    if (!this.hasChanged) return undefined;
    this.hasChanged = false;
    this.takenAt = now;
    this.takenWork = work;
    return packUse(this.sum(now));
  }

  /** The sums for a receiver that knows none; undefined if there are none. */
  describeAll(now: MonotonicMilliseconds): CapacityUse | undefined {
    const sums = this.sum(now);
    return sums.length === 0 ? undefined : packUse(sums);
  }

  private totalWork(): number {
    let total = 0;
    this.entries.forEach(({ work }) => {
      total += work;
    });
    return total;
  }

  private expire(now: MonotonicMilliseconds): void {
    this.entries.forEach(({ receivedAt }, instance) => {
      if (now - receivedAt > EXPIRY_MILLISECONDS) this.remove(instance);
    });
  }
}
