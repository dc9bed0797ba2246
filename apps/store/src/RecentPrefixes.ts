/** Which prompt prefixes backend servers were told to have computed, the latest of them. */

/** Prefixes that are kept of one backend server: those that are used by turns, not all there were. */
const MAX_PREFIXES_PER_SERVER = 500;

export class RecentPrefixes {
  /** By backend server, the latest last. */
  private readonly byServer = new Map<string, Set<string>>();

  get computed(): Record<string, string[]> {
    return Object.fromEntries([...this.byServer].map(([name, digests]) => [name, [...digests]]));
  }

  record(computed: Readonly<Record<string, readonly string[]>>): void {
    Object.entries(computed).forEach(([name, digests]) => {
      const prefixes = this.byServer.get(name) ?? new Set();
      this.byServer.set(name, prefixes);
      digests.forEach((digest) => {
        prefixes.delete(digest);
        prefixes.add(digest);
      });
      for (const oldest of prefixes) {
        if (prefixes.size <= MAX_PREFIXES_PER_SERVER) break;
        prefixes.delete(oldest);
      }
    });
  }

  retainOnly(names: readonly string[]): void {
    const kept = new Set(names);
    [...this.byServer.keys()].forEach((name) => {
      if (!kept.has(name)) this.byServer.delete(name);
    });
  }
}
