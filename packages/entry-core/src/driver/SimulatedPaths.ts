/**
 * Simulates the paths from entries to engines, which can be cut in the ways in which networks lose them,
 * and the tunnels through entries whose own path is whole. It stands for the connector of the entry's
 * shell: whoever establishes a connection first is used, and what that shows is told to the reducer.
 */
import type { SimulatedCluster } from './SimulatedCluster.js';
import type { SimulatedEntry } from './SimulatedEntry.js';

/**
 * - `silent`: nothing arrives on open connections any more, and new ones are never established
 * - `reset`: open connections are reset, and new ones are refused
 * - `newOnly`: open connections live on, and new ones are refused
 */
export const pathCuts = ['silent', 'reset', 'newOnly'] as const;
export type PathCut = (typeof pathCuts)[number];

/** How a new connection turns out: after which time, and through which entry if not directly. */
export type ConnectionOutcome =
  | { readonly type: 'connected'; readonly after: number; readonly relay?: string }
  | { readonly type: 'refused' }
  | { readonly type: 'hangs' };

const DIRECT_MILLISECONDS = 1;
const TUNNEL_MILLISECONDS = 3;

/** A tunnel is tried after this time, unless the path is known to be lost or suspect. */
const DIRECT_HEAD_START_MILLISECONDS = 250;

export class SimulatedPaths {
  /** The cut paths, by entry and engine. */
  private readonly cuts = new Map<string, PathCut>();

  /** Entries that have lost a path, and so check the others. */
  private readonly checking = new Set<string>();

  constructor(private readonly cluster: SimulatedCluster) {}

  cut(entries: readonly SimulatedEntry[], engines: readonly string[], kind: PathCut): void {
    entries.forEach((entry) =>
      engines.forEach((engine) => {
        this.cuts.set(`${entry.instance}/${engine}`, kind);
        entry.breakConnections(engine, kind);
      }),
    );
  }

  isWhole(entry: SimulatedEntry, engine: string): boolean {
    return !this.cuts.has(`${entry.instance}/${engine}`);
  }

  /** Connects an entry to an engine that runs, and tells the entry if its own path is lost. */
  connect(entry: SimulatedEntry, engine: string): ConnectionOutcome {
    const kind = this.cuts.get(`${entry.instance}/${engine}`);
    if (kind === undefined) return { type: 'connected', after: DIRECT_MILLISECONDS };
    const relay = this.cluster.entries.find(
      (other) => other !== entry && other.alive && this.isWhole(other, engine),
    );
    if (relay === undefined) return { type: kind === 'silent' ? 'hangs' : 'refused' };
    const isExpected = this.checking.has(entry.instance) || entry.state.paths.lost.has(engine);
    this.checking.add(entry.instance);
    const headStart = isExpected ? 0 : DIRECT_HEAD_START_MILLISECONDS;
    return {
      type: 'connected',
      after: headStart + TUNNEL_MILLISECONDS,
      relay: relay.instance,
    };
  }
}
