/** Describes the contended pools for operators: who has how much capacity, and who waits. */
import type { ContendedPool } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import { ageOfSums } from '../shares/ShareState.js';

export function describeShares(state: EntryState): ContendedPool[] {
  const contended = [...state.shares.pools].filter(([, { isContended }]) => isContended);
  return contended.map(([pool, { slots, demand, running, priorities, cells }]) => ({
    pool,
    slots: Math.round(slots),
    demand: Math.round(demand),
    running,
    ageOfSums: Math.round(ageOfSums(state.shares, state.clocks.now) ?? 0),
    users: [...cells.values()]
      .sort((a, b) => a.priority - b.priority || b.demand - a.demand)
      .map((cell) => ({
        priority: cell.priority,
        workspace: cell.workspace,
        demand: Math.round(cell.demand),
        share: Math.round(cell.share),
        running: cell.running,
        queued: cell.queued,
        admitted: Number(cell.fraction.toFixed(2)),
      })),
    keptPerServer: priorities.map(({ keptPerServer }) => Number(keptPerServer.toFixed(2))),
  }));
}
