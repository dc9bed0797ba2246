/** Formats the status of an entry and of the whole system for `status` and `watch`. */
import type { ContendedPool } from '@hornbeampond/schema';
import type { EntryStatus } from '../OperatorClient.js';
import type { Paint } from '../paint.js';
import { formatTable } from '../formatTable.js';
import { describeStores, findMostUpToDateStore } from './describeStores.js';

type BackendServer = EntryStatus['backendServers'][number];

function describeEntry(status: EntryStatus, paint: Paint): string {
  const ready = status.ready ? paint('green', 'ready') : paint('red', 'not ready');
  const cutOff = status.cutOff ? paint('red', ', started cut off from the stores') : '';
  return (
    `entry ${status.instance} (${status.dataCentre}): ${ready}${cutOff}, ` +
    `revision ${status.configurationRevision}, ${status.openStreams} streams`
  );
}

function formatHourlyCost(servers: readonly BackendServer[]): string {
  const euros = servers.reduce((sum, { eurosPerHour = 0 }) => sum + eurosPerHour, 0);
  const unknown = servers.filter(({ eurosPerHour }) => eurosPerHour === undefined).length;
  return euros.toFixed(2) + (unknown > 0 ? ` and ${unknown} without a price` : '');
}

function describePools(servers: readonly BackendServer[]): string[] {
  const poolNames = [...new Set(servers.map(({ pool }) => pool))].sort();
  const rows = poolNames.map((name) => {
    const pool = servers.filter((server) => server.pool === name);
    const count = (state: string) => pool.filter((server) => server.state === state).length;
    const inProgress = pool.reduce((sum, server) => sum + server.inProgress, 0);
    return [
      name,
      count('live'),
      count('starting'),
      count('leaving'),
      inProgress,
      formatHourlyCost(pool),
    ];
  });
  const titles = ['pool', 'live', 'starting', 'leaving', 'in progress here', 'euros an hour'];
  const totalLines = rows.length > 0 ? [`cost: ${formatHourlyCost(servers)} euros an hour`] : [];
  return [...formatTable(titles, rows), ...totalLines];
}

function describeCounts(title: string, counts: Readonly<Record<string, number>> = {}): string[] {
  const parts = Object.entries(counts)
    .sort(([a, countA], [b, countB]) => countB - countA || a.localeCompare(b))
    .map(([reason, count]) => `${reason} ${count}`);
  return [`${title}: ${parts.length === 0 ? 'none' : parts.join(', ')}`];
}

function formatFactor(factor: number | undefined): string {
  return factor === undefined ? '-' : factor.toFixed(2);
}

/** The stated factor with its age and, if it is not believed in full, how far it is. */
function formatStated({ speed }: BackendServer): string {
  if (speed?.stated === undefined) return '-';
  const { stated, statedAge = 0, trust = 1 } = speed;
  const trusted = trust < 1 ? `, trusted ${trust.toFixed(1)}` : '';
  return `${formatFactor(stated)} (${(statedAge / 1000).toFixed(1)} s ago${trusted})`;
}

function formatLearnt({ speed }: BackendServer): string {
  if (speed?.learnt === undefined) return '-';
  return `${formatFactor(speed.learnt)} (${Math.round(speed.samples ?? 0)} answers)`;
}

/** The name under which workspaces are added up is empty. */
const OTHER_WORKSPACES_TITLE = '(others)';

/** Who has how much capacity of a contended pool, and who waits. */
function describeContendedPool(pool: ContendedPool, paint: Paint): string[] {
  const state = paint('red', 'contended');
  return [
    `pool ${pool.pool} is ${state}: ${pool.slots} slots, ${pool.running} in use, ` +
      `${pool.demand} asked for (sums ${pool.ageOfSums} ms old)`,
    ...formatTable(
      ['priority', 'workspace', 'asks for', 'share', 'in use', 'waiting', 'admitted'],
      pool.users.map((user) => [
        user.priority,
        user.workspace === '' ? OTHER_WORKSPACES_TITLE : user.workspace,
        user.demand,
        user.share,
        user.running,
        user.queued,
        user.admitted,
      ]),
    ),
  ];
}

export function describeStatus(status: EntryStatus, paint: Paint): string[] {
  const mostUpToDate = findMostUpToDateStore(status.stores);
  return [
    describeEntry(status, paint),
    ...describeCounts('refusals since its start', status.refusals),
    ...describeCounts('retries since its start', status.retries),
    ...describeCounts('recomputed tokens since its start', status.recomputedTokens),
    ...describeStores(status.stores, paint),
    ...formatTable(
      ['instance', 'data centre', 'role', 'revision in force'],
      (mostUpToDate?.instances ?? []).map((report) => [
        report.instance,
        report.dataCentre,
        report.role,
        `${report.revision}${report.cutOff ? ' (cut off)' : ''}`,
      ]),
    ),
    ...formatTable(
      ['lease', 'holder', 'epoch'],
      (mostUpToDate?.leases ?? []).map((lease) => [lease.lease, lease.holder, lease.epoch]),
    ),
    `quarantined requests: ${mostUpToDate?.quarantine.length ?? 'not known'}`,
    ...describePools(status.backendServers),
    ...(status.contendedPools ?? []).flatMap((pool) => describeContendedPool(pool, paint)),
    ...formatTable(
      [
        'backend server',
        'pool',
        'data centre',
        'state',
        'in progress here',
        'stated factor',
        'learnt factor',
        'used factor',
      ],
      status.backendServers.map((server) => [
        server.instance,
        server.pool,
        server.dataCentre,
        server.state,
        server.inProgress,
        formatStated(server),
        formatLearnt(server),
        formatFactor(server.speed?.used),
      ]),
    ),
  ];
}
