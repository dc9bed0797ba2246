/**
 * Merges digests that follow each other into one. Every value in a digest is a new value rather than
 * a difference, so the last one of each key replaces the others, and a subscriber that has applied
 * some of the digests already may apply the merged one as well.
 */
import type {
  EntryDigest,
  EntryReport,
  ServerSpeedsMessage,
  ServerWork,
  WorkSums,
} from '@hornbeampond/schema';

/** The last report of each run of an entry, with all spending that any of its reports lists. */
function mergeReports(digests: readonly EntryDigest[]): EntryReport[] {
  const merged = new Map<string, EntryReport>();
  digests.forEach(({ reports }) =>
    reports.forEach((report) => {
      const run = `${report.instance}/${report.incarnation}`;
      const spentBefore = merged.get(run)?.spent;
      const spent = spentBefore === undefined ? {} : { spent: { ...spentBefore, ...report.spent } };
      // Removed first, so that the last report of a run also has the last place.
      merged.delete(run);
      merged.set(run, { ...report, ...spent });
    }),
  );
  return [...merged.values()];
}

function mergeWork(digests: readonly EntryDigest[]): WorkSums {
  const merged = new Map<string, ServerWork>();
  digests.forEach(({ work }) =>
    work.servers.forEach((server, position) => {
      const inProgress = work.inProgress[position] ?? 0;
      const promptTokens = work.promptTokens[position] ?? 0;
      merged.set(server, { inProgress, promptTokens });
    }),
  );
  const sums = [...merged.values()];
  return {
    servers: [...merged.keys()],
    inProgress: sums.map(({ inProgress }) => inProgress),
    promptTokens: sums.map(({ promptTokens }) => promptTokens),
  };
}

function mergeSpeeds(digests: readonly EntryDigest[]): ServerSpeedsMessage | undefined {
  const messages = digests.flatMap(({ speeds }) => (speeds === undefined ? [] : [speeds]));
  if (messages.length === 0) return undefined;
  const sums = new Map<string, readonly number[]>();
  const stated = new Map<string, readonly [number, number]>();
  const restarted = new Set<string>();
  messages.forEach((message) => {
    // What was measured of the earlier process of a server ends with it.
    message.restarted?.forEach((server) => {
      restarted.add(server);
      sums.delete(server);
      stated.delete(server);
    });
    Object.entries(message.sums ?? {}).forEach(([server, packed]) => sums.set(server, packed));
    Object.entries(message.stated ?? {}).forEach(([server, packed]) => stated.set(server, packed));
  });
  return {
    ...(sums.size === 0 ? {} : { sums: Object.fromEntries(sums) }),
    ...(stated.size === 0 ? {} : { stated: Object.fromEntries(stated) }),
    ...(restarted.size === 0 ? {} : { restarted: [...restarted] }),
  };
}

/** The union of lists of names by key. */
export function mergeNames(
  lists: readonly Readonly<Record<string, readonly string[]>>[],
): Record<string, string[]> {
  const merged = new Map<string, Set<string>>();
  lists.forEach((list) =>
    Object.entries(list).forEach(([key, names]) => {
      const known = merged.get(key) ?? new Set<string>();
      names.forEach((name) => known.add(name));
      merged.set(key, known);
    }),
  );
  return Object.fromEntries([...merged].map(([key, names]) => [key, [...names]]));
}

/** @param digests - At least one, in the order in which they were published. */
export function mergeDigests(digests: readonly EntryDigest[]): EntryDigest {
  const last = digests[digests.length - 1];
  if (last === undefined) throw new TypeError('there is no digest to merge');
  const speeds = mergeSpeeds(digests);
  const use = digests.findLast((digest) => digest.use !== undefined)?.use;
  return {
    sequence: last.sequence,
    ...(last.publishedAt === undefined ? {} : { publishedAt: last.publishedAt }),
    reports: mergeReports(digests),
    spending: digests.flatMap(({ spending }) => spending),
    work: mergeWork(digests),
    included: Object.assign({}, ...digests.map(({ included }) => included)),
    computed: mergeNames(digests.map(({ computed }) => computed)),
    usage: digests.flatMap(({ usage }) => usage),
    ...(speeds === undefined ? {} : { speeds }),
    ...(use === undefined ? {} : { use }),
  };
}
