/**
 * The suspects that the other entries have reported, by digest and by the backend server on which they
 * run. After a crash there are hundreds of them, and each choice of a server asks about many requests.
 */
import type { PeerSuspect } from '@hornbeampond/schema';

const NO_SUSPECTS: ReadonlyMap<string, PeerSuspect> = new Map();
const NO_ENTRIES: ReadonlySet<string> = new Set();

/** Adds `member` to the set of `key`. */
function addTo(sets: Map<string, Set<string>>, key: string, member: string): void {
  const members = sets.get(key);
  if (members === undefined) sets.set(key, new Set([member]));
  else members.add(member);
}

function removeFrom(sets: Map<string, Set<string>>, key: string, member: string): void {
  const members = sets.get(key);
  members?.delete(member);
  if (members?.size === 0) sets.delete(key);
}

export class PeerSuspects {
  private readonly byEntry = new Map<string, readonly PeerSuspect[]>();

  /** By digest, and then by the entry that reported it. */
  private readonly byDigest = new Map<string, Map<string, PeerSuspect>>();

  /** Entries by the backend server on which they run a suspect. */
  private readonly entriesRunningAt = new Map<string, Set<string>>();

  private readonly entriesWithPending = new Set<string>();

  /** Suspects with this digest, by the entry that reported them. */
  withDigest(digest: string): ReadonlyMap<string, PeerSuspect> {
    return this.byDigest.get(digest) ?? NO_SUSPECTS;
  }

  /** Entries that last reported that they run a suspect on the backend server. */
  runningAt(backendServer: string): ReadonlySet<string> {
    return this.entriesRunningAt.get(backendServer) ?? NO_ENTRIES;
  }

  /** Backend servers on which some entry runs a suspect. */
  get busyServers(): readonly string[] {
    return [...this.entriesRunningAt.keys()];
  }

  /** True if a request of a suspect's digest is in progress at the entry. */
  hasPending(entry: string): boolean {
    return this.entriesWithPending.has(entry);
  }

  /** Replaces what an entry has reported. */
  replace(entry: string, suspects: readonly PeerSuspect[]): void {
    this.remove(entry);
    if (suspects.length === 0) return;
    this.byEntry.set(entry, suspects);
    suspects.forEach((suspect) => this.add(entry, suspect));
  }

  remove(entry: string): void {
    this.byEntry.get(entry)?.forEach(({ digest, runningAt }) => {
      const reported = this.byDigest.get(digest);
      reported?.delete(entry);
      if (reported?.size === 0) this.byDigest.delete(digest);
      if (runningAt !== undefined) removeFrom(this.entriesRunningAt, runningAt, entry);
    });
    this.byEntry.delete(entry);
    this.entriesWithPending.delete(entry);
  }

  private add(entry: string, suspect: PeerSuspect): void {
    const { digest, runningAt, pending } = suspect;
    const reported = this.byDigest.get(digest);
    if (reported === undefined) this.byDigest.set(digest, new Map([[entry, suspect]]));
    else reported.set(entry, suspect);
    if (runningAt !== undefined) addTo(this.entriesRunningAt, runningAt, entry);
    if (pending === true) this.entriesWithPending.add(entry);
  }
}
