/** The verbs that show what the system does. */
import { exitCodes } from '@hornbeampond/runtime';
import { Command, UsageError, type CommandContext } from '../Command.js';
import type { EntryStatus } from '../OperatorClient.js';
import { printTable } from '../printTable.js';

const DEFAULT_WATCH_SECONDS = 2;

export function describeStatus(status: EntryStatus): string[] {
  const newest = status.stores.reduce(
    (most, store) => (store.appliedIndex > (most?.appliedIndex ?? -1) ? store : most),
    status.stores[0],
  );
  const leader = status.stores.find((store) => store.role === 'leader');
  const reports = newest?.instances ?? [];
  return [
    `entry ${status.instance} (${status.dataCentre}): ${status.ready ? 'ready' : 'not ready'}` +
      `${status.cutOff ? ', started cut off from the stores' : ''}, ` +
      `revision ${status.configurationRevision}, ${status.openStreams} streams`,
    leader === undefined
      ? 'stores: no leader answers'
      : `stores: ${leader.instance} leads term ${leader.term} ` +
        `with voters ${leader.voters.join(', ')}; ${leader.claims} claims`,
    ...printTable(
      ['store', 'role', 'term', 'commit', 'applied', 'revision'],
      status.stores.map((store) => [
        store.instance,
        store.role + (store.readOnly ? ' (read-only)' : ''),
        store.term,
        store.commitIndex,
        store.appliedIndex,
        store.configurationRevision,
      ]),
    ),
    ...printTable(
      ['instance', 'data centre', 'role', 'revision in force'],
      reports.map((report) => [
        report.instance,
        report.dataCentre,
        report.role,
        `${report.revision}${report.cutOff ? ' (cut off)' : ''}`,
      ]),
    ),
    ...printTable(
      ['lease', 'holder', 'epoch'],
      (newest?.leases ?? []).map((lease) => [lease.lease, lease.holder, lease.epoch]),
    ),
    ...printTable(
      ['backend server', 'pool', 'data centre', 'state', 'in progress'],
      status.backendServers.map((server) => [
        server.instance,
        server.pool,
        server.dataCentre,
        server.state,
        server.inProgress,
      ]),
    ),
  ];
}

export class Status extends Command {
  override readonly name = 'status';

  override readonly usage = '';

  override readonly purpose = 'shows the state of the system at a glance';

  override readonly example = 'hornbeampondctl status --json';

  override async run({ client, json, print }: CommandContext): Promise<number> {
    const status = await client.getStatus();
    if (json) print(JSON.stringify(status));
    else describeStatus(status).forEach(print);
    return exitCodes.done;
  }
}

export class Watch extends Command {
  override readonly name = 'watch';

  override readonly usage = '';

  override readonly purpose = 'shows the status again and again until interrupted';

  override readonly example = 'hornbeampondctl watch --seconds 5';

  override readonly options = {
    seconds: { type: 'string', purpose: `pause between two (${DEFAULT_WATCH_SECONDS})` },
    times: { type: 'string', purpose: 'stop after so many' },
  } as const;

  override async run({ client, options, json, print }: CommandContext): Promise<number> {
    const seconds = Number(options.seconds ?? DEFAULT_WATCH_SECONDS);
    const times = Number(options.times ?? Number.POSITIVE_INFINITY);
    if (!(seconds > 0) || !(times > 0)) {
      throw new UsageError(['--seconds and --times take numbers above 0']);
    }
    for (let shown = 0; shown < times; shown += 1) {
      const status = await client.getStatus();
      if (json) print(JSON.stringify(status));
      else [`-- ${new Date().toISOString()}`, ...describeStatus(status)].forEach(print);
      if (shown + 1 < times) {
        await new Promise((resolve) => {
          setTimeout(resolve, seconds * 1000);
        });
      }
    }
    return exitCodes.done;
  }
}

export const statusCommands: readonly Command[] = [new Status(), new Watch()];
