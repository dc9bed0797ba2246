/**
 * Reducer of the work that one process does for the whole cluster: reporting usage, and sizing
 * pools on platforms that accept a target count. It sends no order, settlement or report without
 * the lease.
 */
import { assertNever, type EntryReport, type PlatformInstance } from '@hornbeampond/schema';
import { advanceSizes, handleSizeOrderOutcome } from './advanceSizes.js';
import { advanceRollouts } from './advanceRollouts.js';
import { advanceUsage, handleUsageSettled } from './advanceUsage.js';
import type { SingletonEffect, SingletonEvent } from './singletonEvents.js';
import type { SingletonState } from './SingletonState.js';

function receiveEntryReport(state: SingletonState, report: EntryReport): void {
  state.entryReports.set(report.instance, { report, receivedAt: state.now });
  state.usage.receive(report);
  state.rollouts.receive(report);
  if ((report.demand ?? []).length > 0) state.firstDemandAt ??= state.now;
}

/**
 * Stores the list and detects when it has stopped growing: while a cluster starts, its instances
 * are listed over several seconds.
 */
function receiveInstanceList(state: SingletonState, instances: readonly PlatformInstance[]): void {
  state.instances = instances;
  if (instances.length === 0) return;
  state.isListStable ||= instances.length <= state.previousListLength;
  state.previousListLength = instances.length;
}

export function reduceSingleton(state: SingletonState, event: SingletonEvent): SingletonEffect[] {
  state.now = event.now;
  state.wallNow = event.wallNow;
  switch (event.type) {
    case 'tick':
      return [...advanceUsage(state), ...advanceRollouts(state)];
    case 'configurationReceived':
      state.configuration = event.configuration;
      return [];
    case 'entryReported':
      receiveEntryReport(state, event.report);
      return [];
    case 'usageTold':
      event.usage.forEach((usage) => state.usage.receive(usage));
      return [];
    case 'instancesListed':
      receiveInstanceList(state, event.instances);
      return advanceSizes(state);
    case 'leaseHeld':
      state.epoch = event.epoch;
      // The orders accepted from the previous holder are unknown, so sizing starts anew.
      state.pools.clear();
      return [];
    case 'leaseLost':
      state.epoch = undefined;
      return [];
    case 'usageSettled':
      return handleUsageSettled(state, event.window, event.counts);
    case 'usageReported': {
      const window = state.usageWindows.get(event.window);
      if (window !== undefined) window.isReported = true;
      return [];
    }
    case 'sizeOrdered':
      return handleSizeOrderOutcome(state, event.order, event.outcome);
    default:
      return assertNever(event);
  }
}
