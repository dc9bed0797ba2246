/**
 * Stores the counts of each usage window as first proposed. Every later proposal for the window gets
 * these counts, so that two holders of the reporting lease never report it differently.
 */
import type { SettleUsageCommand, SettleUsageResult } from '@hornbeampond/schema';
import { MAX_USAGE_WINDOWS } from './constants.js';
import type { MachineState } from './MachineState.js';

export function settleUsage(state: MachineState, command: SettleUsageCommand): SettleUsageResult {
  const { window, counts } = command;
  const settled = state.usage.get(window) ?? counts;
  state.usage.set(window, settled);
  for (const oldest of state.usage.keys()) {
    if (state.usage.size <= MAX_USAGE_WINDOWS) break;
    state.usage.delete(oldest);
  }
  return { type: 'usageSettled', counts: settled };
}
