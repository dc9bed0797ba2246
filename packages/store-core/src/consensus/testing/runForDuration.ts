/**
 * Lets time pass in a model cluster without further faults: messages arrive in order, disks are
 * synced, clocks run, and stores that are no members ask to be let in.
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

/** Carries out all that is under way; messages between the two sides of a cut are lost. */
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
