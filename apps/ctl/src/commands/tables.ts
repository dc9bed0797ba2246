/** The commands that read, compare and replace the tables, and wait for a revision. */
import { randomUUID } from 'node:crypto';
import { stringify } from 'smol-toml';
import { exitCodes } from '@hornbeampond/runtime';
import { Command, UsageError, type CommandContext } from '../Command.js';
import { ProblemError, type EntryStatus } from '../OperatorClient.js';
import { findRowDifferences, formatRowDifference } from '../findRowDifferences.js';
import { readTableFile, parseTableName } from '../readTableFile.js';

/** Another change was made first, so the base revision is outdated. */
export const EXIT_CODE_REVISION_CONFLICT = 3;

/** The revision was not in force on all instances within the given time. */
export const EXIT_CODE_NOT_IN_FORCE = 4;

const POLL_INTERVAL_MILLISECONDS = 100;
const DEFAULT_WAIT_SECONDS = 15;

export class TablesGetCommand extends Command {
  override readonly name = 'tables get';

  override readonly usage = 'routes|pools';

  override readonly purpose = 'prints the current table as TOML';

  override readonly example = 'hornbeampondctl tables get routes > routes.toml';

  override async run({ client, positionals, json, print }: CommandContext): Promise<number> {
    const table = parseTableName(positionals[0]);
    const current = await client.getTable(table);
    if (json) {
      print(JSON.stringify(current));
      return exitCodes.done;
    }
    print(`# ${table} at revision ${current.revision}`);
    print(stringify({ [table]: current.rows }));
    return exitCodes.done;
  }
}

export class TablesDiffCommand extends Command {
  override readonly name = 'tables diff';

  override readonly usage = 'routes|pools FILE';

  override readonly purpose = 'shows what putting the file would change';

  override readonly example = 'hornbeampondctl tables diff routes routes.toml';

  override async run({ client, positionals, json, print }: CommandContext): Promise<number> {
    const table = parseTableName(positionals[0]);
    const rows = readTableFile(table, positionals[1]);
    const current = await client.getTable(table);
    const differences = findRowDifferences(current.rows, rows);
    if (json) print(JSON.stringify({ revision: current.revision, differences }));
    else if (differences.length === 0) print(`no difference to revision ${current.revision}`);
    else differences.forEach((difference) => print(formatRowDifference(difference)));
    return exitCodes.done;
  }
}

export class TablesPutCommand extends Command {
  override readonly name = 'tables put';

  override readonly usage = 'routes|pools FILE';

  override readonly purpose = 'replaces a table by the file and prints the new revision';

  override readonly example = 'hornbeampondctl tables put routes routes.toml --revision 7';

  override readonly options = {
    revision: {
      type: 'string',
      purpose: 'the revision that the file is based on; the newest by default',
    },
    'change-id': {
      type: 'string',
      purpose: 'id of the change, to send the same change again later',
    },
  } as const;

  override async run({
    client,
    positionals,
    options,
    json,
    print,
  }: CommandContext): Promise<number> {
    const table = parseTableName(positionals[0]);
    const rows = readTableFile(table, positionals[1]);
    const baseRevision =
      typeof options.revision === 'string'
        ? Number(options.revision)
        : (await client.getTable(table)).revision;
    if (!Number.isInteger(baseRevision)) throw new UsageError(['--revision takes a whole number']);
    const changeIdOption = options['change-id'];
    const changeId = typeof changeIdOption === 'string' ? changeIdOption : randomUUID();
    try {
      const revision = await client.putTable({ table, baseRevision, changeId, rows });
      print(json ? JSON.stringify({ table, revision }) : `${table} is at revision ${revision}`);
      return exitCodes.done;
    } catch (error) {
      if (!(error instanceof ProblemError) || error.problem.kind !== 'revisionStale') {
        print(
          `change id ${changeId}: if no response was received, the change may have been made; sending the same file again with --change-id ${changeId} makes it at most once`,
        );
        throw error;
      }
      print(
        `${table} was changed in the meantime: it is at revision ${error.problem.currentRevision}`,
      );
      print(`your file is based on revision ${baseRevision}; nothing was changed. To merge:`);
      print(`  hornbeampondctl tables diff ${table} ${positionals[1]}`);
      print(`  then put again with --revision ${error.problem.currentRevision}`);
      return EXIT_CODE_REVISION_CONFLICT;
    }
  }
}

function describeInstancesBehind(status: EntryStatus, revision: number): string[] {
  const reports = new Map(
    status.stores.flatMap((store) => store.instances.map((report) => [report.instance, report])),
  );
  return [...reports.values()]
    .filter((report) => report.revision < revision)
    .map((report) => `${report.instance} (${report.dataCentre}) at ${report.revision}`);
}

export class TablesWaitCommand extends Command {
  override readonly name = 'tables wait';

  override readonly usage = 'REVISION';

  override readonly purpose =
    'waits until a revision is in force on all instances that report to the stores';

  override readonly example = 'hornbeampondctl tables wait 8 --seconds 15';

  override readonly options = {
    seconds: { type: 'string', purpose: `how long to wait (${DEFAULT_WAIT_SECONDS})` },
  } as const;

  override async run({
    client,
    positionals,
    options,
    timers,
    print,
  }: CommandContext): Promise<number> {
    const revision = Number(positionals[0]);
    if (!Number.isInteger(revision)) throw new UsageError(['name a revision']);
    const seconds = Number(options.seconds ?? DEFAULT_WAIT_SECONDS);
    if (!(seconds > 0)) throw new UsageError(['--seconds takes a number above 0']);
    const endsAt = timers.monotonicNow() + seconds * 1000;
    for (;;) {
      const status = await client.getStatus();
      const behind = describeInstancesBehind(status, revision);
      if (behind.length === 0 && status.configurationRevision >= revision) {
        print(`revision ${revision} is in force everywhere`);
        return exitCodes.done;
      }
      if (timers.monotonicNow() > endsAt) {
        print(`revision ${revision} is not yet in force on:`);
        behind.forEach((line) => print(`  ${line}`));
        return EXIT_CODE_NOT_IN_FORCE;
      }
      await timers.wait(POLL_INTERVAL_MILLISECONDS);
    }
  }
}

export const tableCommands: readonly Command[] = [
  new TablesGetCommand(),
  new TablesDiffCommand(),
  new TablesPutCommand(),
  new TablesWaitCommand(),
];
