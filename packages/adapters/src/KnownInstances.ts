/** Keeps one row of the list of instances for each name, also where two rows name one instance. */
import type { PlatformInstance, SkippedInstance } from '@hornbeampond/schema';

/** The name in a log line; longer ones are cut. */
const MAX_LOGGED_CHARACTERS = 64;

function isSamePlace(one: PlatformInstance, other: PlatformInstance): boolean {
  return one.host === other.host && one.port === other.port && one.pool === other.pool;
}

export function cutName(name: string): string {
  return name.slice(0, MAX_LOGGED_CHARACTERS);
}

/** Of one name. */
const MAX_RIVALS = 8;

export class KnownInstances {
  /** The instances of the last list, by name. */
  private known: ReadonlyMap<string, PlatformInstance> = new Map();

  /** Rows that were not taken beside a known one, by name: they are of another writer. */
  private readonly rivals = new Map<string, PlatformInstance[]>();

  /** Takes the rows of a reading; adds those that name an instance again to `skipped`. */
  update(rows: readonly PlatformInstance[], skipped: SkippedInstance[]): PlatformInstance[] {
    const instances = new Map<string, PlatformInstance>();
    rows.forEach((row) => {
      const { instance: name } = row;
      const other = instances.get(name);
      instances.set(name, other === undefined ? row : this.choose(row, other));
      if (other !== undefined) skipped.push({ reason: 'listedTwice', name: cutName(name) });
    });
    this.known = instances;
    [...this.rivals.keys()].forEach((name) => {
      if (!instances.has(name)) this.rivals.delete(name);
    });
    return [...instances.values()];
  }

  /**
   * At one address, the instance leaves if either row says so: it may have begun to leave between two
   * pages. Of two addresses, the known one stays, or the one that was not listed beside a known one
   * before: the instance may have moved, or have been missing from a list.
   */
  private choose(row: PlatformInstance, other: PlatformInstance): PlatformInstance {
    if (isSamePlace(row, other)) return other.state === 'leaving' ? other : row;
    const isRowRival = this.isRival(row);
    if (isRowRival !== this.isRival(other)) return isRowRival ? other : row;
    const known = this.known.get(row.instance);
    if (known === undefined) return other;
    if (isSamePlace(row, known)) return this.preferKnown(row, other);
    return isSamePlace(other, known) ? this.preferKnown(other, row) : other;
  }

  private preferKnown(known: PlatformInstance, rival: PlatformInstance): PlatformInstance {
    const rivals = this.rivals.get(known.instance) ?? [];
    this.rivals.set(known.instance, [...rivals, rival].slice(-MAX_RIVALS));
    return known;
  }

  private isRival(row: PlatformInstance): boolean {
    return this.rivals.get(row.instance)?.some((rival) => isSamePlace(rival, row)) ?? false;
  }
}
