/** The command that shows a controller's plan. */
import { exitCodes } from '@hornbeampond/runtime';
import { Command, type CommandContext } from '../Command.js';
import type { PlanRow } from '../OperatorClient.js';
import type { Colour } from '../paint.js';
import { formatTable } from '../formatTable.js';

const colourOfAction: Readonly<Record<string, Colour>> = {
  buy: 'green',
  drain: 'yellow',
  wait: 'red',
};

function describePlan(rows: readonly PlanRow[]): string[] {
  const titles = [
    'pool',
    'data centre',
    'class',
    'euros',
    'wanted',
    'present',
    'serving',
    'action',
  ];
  const cells = rows.map((row) => [
    row.pool,
    row.dataCentre,
    row.instanceClass + (row.reclaimable ? ' (reclaimable)' : ''),
    row.eurosPerHour.toFixed(2),
    row.wanted,
    row.present,
    row.serving,
    `${row.action}: ${row.reason}`,
  ]);
  return formatTable(titles, cells);
}

/** Pools that lack slots for their deadlines; all rows of a pool have the same `missingSlots`. */
function describeShortfalls(rows: readonly PlanRow[]): string[] {
  const missing = new Map(rows.map((row) => [row.pool, row.missingSlots]));
  return [...missing]
    .filter(([, slots]) => slots > 0)
    .map(([pool, slots]) => `${pool} lacks ${slots} slots that are not available anywhere`);
}

function formatPresentCost(rows: readonly PlanRow[]): string {
  const euros = rows.reduce((sum, { present, eurosPerHour }) => sum + present * eurosPerHour, 0);
  return euros.toFixed(2);
}

export class PlanCommand extends Command {
  override readonly name = 'plan';

  override readonly usage = '';

  override readonly purpose = 'shows the plan of a controller; --entry names its operators’ port';

  override readonly example = 'hornbeampondctl plan --entry http://127.0.0.1:9092';

  override async run({ client, json, paint, print }: CommandContext): Promise<number> {
    const rows = await client.getPlan();
    if (json) {
      print(JSON.stringify(rows));
      return exitCodes.done;
    }
    const [titles, ...lines] = describePlan(rows);
    if (titles === undefined) {
      print('there is no plan yet');
      return exitCodes.done;
    }
    print(titles);
    lines.forEach((line, position) => {
      const colour = colourOfAction[rows[position]?.action ?? ''];
      print(colour === undefined ? line : paint(colour, line));
    });
    describeShortfalls(rows).forEach((line) => print(paint('red', line)));
    print(`cost of the present instances: ${formatPresentCost(rows)} euros an hour`);
    return exitCodes.done;
  }
}

export const planCommands: readonly Command[] = [new PlanCommand()];
