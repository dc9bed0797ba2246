/**
 * Lets time pass in a model cluster without further faults: messages arrive in order, disks are
 * synced, clocks run, and stores that are no members ask to be let in.
 */
import { deliver } from './modelCluster.js';
import { elapseAll, isCut, repair, syncAll, type Schedule } from './randomSchedule.js';

const STEP_MILLISECONDS = 25;

/** Carries out all that is under way; messages between the two sides of a cut are lost. */
function finishWork(schedule: Schedule): void {
  for (;;) {
    syncAll(schedule);
    const { cluster } = schedule;
    const [message, ...others] = cluster.network;
    if (message === undefined) return;
    schedule.cluster = isCut(schedule, message)
      ? { ...cluster, network: others }
      : deliver(cluster, message, false, true);
  }
}

export function passTime(schedule: Schedule, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    elapseAll(schedule, STEP_MILLISECONDS);
    finishWork(schedule);
    repair(schedule);
    finishWork(schedule);
  }
}
