/**
 * Lets time pass in a model cluster without further faults: messages arrive in order, disks are
 * synced, clocks run, and stores that are no members ask to be let in.
 */
import { deliver, elapse, syncDisk, type ModelCluster } from './modelCluster.js';
import { repair, type Schedule } from './randomSchedule.js';

const STEP_MILLISECONDS = 25;

function deliverNext(cluster: ModelCluster, cutOff: readonly string[]): ModelCluster | undefined {
  const [message] = cluster.network;
  if (message === undefined) return undefined;
  const { instance, envelope } = message;
  if (cutOff.includes(instance) === cutOff.includes(envelope.from.instance)) {
    return deliver(cluster, message, false, true);
  }
  return { ...cluster, network: cluster.network.slice(1) };
}

function syncNext(cluster: ModelCluster): ModelCluster | undefined {
  const waiting = Object.values(cluster.voters).find(
    ({ jobs, state }) => state !== undefined && jobs.length > 0,
  );
  return waiting && syncDisk(cluster, waiting.instance, 1);
}

/** Carries out all that is under way; messages between the two sides of a cut are lost. */
function finishWork({ cluster: start, cutOff }: Schedule): ModelCluster {
  let cluster = start;
  for (;;) {
    const next = syncNext(cluster) ?? deliverNext(cluster, cutOff);
    if (next === undefined) return cluster;
    cluster = next;
  }
}

export function passTime(schedule: Schedule, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    schedule.cluster = Object.keys(schedule.cluster.voters).reduce(
      (cluster, instance) => elapse(cluster, instance, STEP_MILLISECONDS),
      schedule.cluster,
    );
    schedule.cluster = finishWork(schedule);
    repair(schedule);
    schedule.cluster = finishWork(schedule);
  }
}
