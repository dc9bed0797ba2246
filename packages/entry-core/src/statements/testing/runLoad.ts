/** Loads for tests of what backend servers say about themselves. */
import { makeRequest, SimulatedCluster } from '../../driver/index.js';

const STEP_MILLISECONDS = 10;

export interface Load {
  readonly requestsPerSecond: number;
  readonly duration: number;
}

/** Sends requests to all entries in turn. */
export function runLoad(cluster: SimulatedCluster, { requestsPerSecond, duration }: Load): void {
  const start = cluster.clock().now;
  let sent = 0;
  for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
    for (; sent < (elapsed / 1000) * requestsPerSecond; sent += 1) {
      const entry = cluster.entryAt(sent % cluster.entries.length);
      entry.submitRequest(makeRequest(`request-${start}-${sent}`, { maxTokens: 20 }));
    }
    cluster.advance(STEP_MILLISECONDS);
  }
}

export interface ClusterSize {
  readonly entries: number;
  readonly enginesPerDataCentre?: number;
}

/** A cluster of two data centres whose entries have heard of each other. */
export function makeCluster({ entries, enginesPerDataCentre = 2 }: ClusterSize): SimulatedCluster {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': enginesPerDataCentre, 'wien-b': enginesPerDataCentre },
    entries,
    reportsThroughStore: true,
  });
  cluster.advance(1500);
  return cluster;
}
