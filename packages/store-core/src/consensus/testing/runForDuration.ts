/**
 * Runs a simulated cluster for a duration without new faults: clocks advance, writes are synced,
 * messages are delivered in order, and `repairMembership` runs in each step. Existing faults, such
 * as a partition or a stopped store, last.
 */
import { deliver } from './modelCluster.js';
import {
  advanceAllClocks,
  isBlockedByPartition,
  repairMembership,
  syncAllDisks,
  type ClusterSimulation,
} from './runSchedule.js';

const STEP_MILLISECONDS = 25;

/** Syncs and delivers until no message is pending; messages across the partition are dropped. */
function deliverAndSyncAll(simulation: ClusterSimulation): void {
  for (;;) {
    syncAllDisks(simulation);
    const { cluster } = simulation;
    const [message, ...remaining] = cluster.network;
    if (message === undefined) return;
    simulation.cluster = isBlockedByPartition(simulation, message)
      ? { ...cluster, network: remaining }
      : deliver(cluster, message, false, true);
  }
}

export function runForDuration(simulation: ClusterSimulation, milliseconds: number): void {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    advanceAllClocks(simulation, STEP_MILLISECONDS);
    deliverAndSyncAll(simulation);
    repairMembership(simulation);
    deliverAndSyncAll(simulation);
  }
}
