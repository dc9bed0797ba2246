/** What an entry knows of its own paths to backend servers, and what it offers to others. */
import type { ListenAddress } from '@hornbeampond/schema';

export interface PathsState {
  /** Where this entry accepts tunnels of others; undefined if it accepts none. */
  tunnelAddress: ListenAddress | undefined;
  /** Backend servers that only other entries reach. */
  readonly lost: Set<string>;
}

export function makePathsState(): PathsState {
  return { tunnelAddress: undefined, lost: new Set() };
}
