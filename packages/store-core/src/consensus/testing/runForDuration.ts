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
function finishWork(schedule: ClusterSimulation): void {
  for (;;) {
    syncAllDisks(schedule);
    const { cluster } = schedule;
    const [message, ...others] = cluster.network;
    if (message === undefined) return;
    schedule.cluster = isBlockedByPartition(schedule, message)
      ? { ...cluster, network: others }
      : deliver(cluster, message, false, true);
  }
}

export function runForDuration(schedule: ClusterSimulation, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    advanceAllClocks(schedule, STEP_MILLISECONDS);
    finishWork(schedule);
    repairMembership(schedule);
    finishWork(schedule);
  }
}
