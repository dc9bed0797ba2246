/**
 * The account of what callers make a process hold, in estimated bytes: for each connection, and for all
 * together. While all of it is used, those that hold most make room for those that hold less.
 */

/**
 * - `heap`: objects, which the garbage collector looks after: connections, heads and requests.
 * - `buffers`: bodies, input that is not parsed yet and answers that were not read.
 */
export const heldKinds = ['heap', 'buffers'] as const;
export type HeldKind = (typeof heldKinds)[number];

/** One connection of the account. */
export interface MemoryHolder {
  readonly held: Record<HeldKind, number>;
  /** Closes the connection at once, so that what it holds is released. */
  evict(): void;
}

export type HeldBytes = Readonly<Record<HeldKind, number>>;

/** Only connections that hold so many times as much are closed for the sake of another one. */
const EVICTION_RATIO = 2;

/** Evictions go on until this share of the limit is in use, so that not each request causes one. */
const SHARE_AFTER_EVICTION = 0.9;

export class HeldMemory {
  readonly total: Record<HeldKind, number> = { heap: 0, buffers: 0 };

  private readonly holders = new Set<MemoryHolder>();

  constructor(private readonly limits: HeldBytes) {}

  add(holder: MemoryHolder): void {
    this.holders.add(holder);
    heldKinds.forEach((kind) => {
      this.total[kind] += holder.held[kind];
    });
  }

  /** Forgets a connection and all that it holds. */
  remove(holder: MemoryHolder): void {
    if (!this.holders.delete(holder)) return;
    heldKinds.forEach((kind) => {
      this.total[kind] -= holder.held[kind];
      holder.held[kind] = 0;
    });
  }

  /**
   * Counts a change of what a connection holds. Returns false, and counts nothing, if there is no room for
   * more of it.
   */
  change(holder: MemoryHolder, kind: HeldKind, bytes: number): boolean {
    if (!this.holders.has(holder)) return false;
    this.count(holder, kind, bytes);
    if (bytes <= 0 || this.total[kind] <= this.limits[kind] || this.makeRoom(holder, kind)) {
      return true;
    }
    this.count(holder, kind, -bytes);
    return false;
  }

  /** Counts a change that has happened, whether or not there is room for it. */
  count(holder: MemoryHolder, kind: HeldKind, bytes: number): void {
    if (!this.holders.has(holder)) return;
    holder.held[kind] += bytes;
    this.total[kind] += bytes;
  }

  private makeRoom(claimant: MemoryHolder, kind: HeldKind): boolean {
    const least = claimant.held[kind] * EVICTION_RATIO;
    const larger = [...this.holders]
      .filter((holder) => holder !== claimant && holder.held[kind] >= least)
      .sort((one, other) => other.held[kind] - one.held[kind]);
    const target = this.limits[kind] * SHARE_AFTER_EVICTION;
    for (const holder of larger) {
      if (this.total[kind] <= target) break;
      holder.evict();
      this.remove(holder);
    }
    return this.total[kind] <= this.limits[kind];
  }
}
