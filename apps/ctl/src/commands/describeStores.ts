/** Formats the status that each store reports of itself, for `status` and `store status`. */
import type { StoreStatus } from '@hornbeampond/schema';
import type { Paint } from '../paint.js';
import { formatTable } from '../formatTable.js';

function describeLeader(stores: readonly StoreStatus[], paint: Paint): string {
  const leader = stores.find((store) => store.role === 'leader');
  if (leader === undefined) return `stores: ${paint('red', 'no leader answers')}`;
  const learners = leader.learners.length > 0 ? `, learners ${leader.learners.join(', ')}` : '';
  return (
    `stores: ${leader.instance} leads term ${leader.term} ` +
    `with voters ${leader.voters.join(', ')}${learners}; ${leader.claims} claims`
  );
}

export function describeStores(stores: readonly StoreStatus[], paint: Paint): string[] {
  const rows = stores.map((store) => [
    store.instance,
    store.role + (store.readOnly ? ' (read-only)' : ''),
    store.term,
    store.commitIndex,
    store.appliedIndex,
    store.configurationRevision,
  ]);
  const table = formatTable(['store', 'role', 'term', 'commit', 'applied', 'revision'], rows);
  return [describeLeader(stores, paint), ...table];
}

/** The store with the highest applied index; its leases, instances and quarantine are shown. */
export function findMostUpToDateStore(stores: readonly StoreStatus[]): StoreStatus | undefined {
  return stores.reduce<StoreStatus | undefined>(
    (best, store) => (store.appliedIndex > (best?.appliedIndex ?? -1) ? store : best),
    undefined,
  );
}
