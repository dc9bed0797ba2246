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

export class KnownInstances {
  /** The instances of the last list, by name. */
  private known: ReadonlyMap<string, PlatformInstance> = new Map();

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
    return [...instances.values()];
  }

  /**
   * At one address, the instance leaves if either row says so: it may have begun to leave between two
   * pages. Of two addresses, the known one stays, or the first one.
   */
  private choose(row: PlatformInstance, other: PlatformInstance): PlatformInstance {
    if (isSamePlace(row, other)) return other.state === 'leaving' ? other : row;
    const known = this.known.get(row.instance);
    return known !== undefined && isSamePlace(row, known) ? row : other;
  }
}
