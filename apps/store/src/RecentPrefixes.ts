/** The prompt prefixes that each backend server computed most recently, as reported by entries. */

/** Prefixes kept for each backend server; above this the least recently reported are removed. */
const MAX_PREFIXES_PER_SERVER = 500;

export class RecentPrefixes {
  /** Digests by backend server, the most recent last. */
  private readonly byServer = new Map<string, Set<string>>();

  get computed(): Record<string, string[]> {
    return Object.fromEntries([...this.byServer].map(([name, digests]) => [name, [...digests]]));
  }

  /** The most recent prefixes, at most `limit` in total and as many of each backend server. */
  mostRecent(limit: number): Record<string, string[]> {
    const limitPerServer = Math.floor(limit / Math.max(1, this.byServer.size));
    if (limitPerServer === 0) return {};
    return Object.fromEntries(
      [...this.byServer].map(([name, digests]) => [name, [...digests].slice(-limitPerServer)]),
    );
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
