/** The commands that start, show and take back the roll-out of a version. */
import { exitCodes } from '@hornbeampond/runtime';
import type { Rollout } from '@hornbeampond/schema';
import { Command, UsageError, type CommandContext } from '../Command.js';

const secondsPerUnit: Readonly<Record<string, number>> = { s: 1, m: 60, h: 3600 };

const DEFAULT_WITHIN = '5m';

/** Parses a duration such as `90s`, `5m` or `1h`. */
function parseSeconds(text: string): number {
  const [, number, unit = ''] = /^(\d+(?:\.\d+)?)([smh])$/.exec(text) ?? [];
  const seconds = Number(number) * (secondsPerUnit[unit] ?? Number.NaN);
  if (seconds > 0) return seconds;
  throw new UsageError(['--within takes a duration such as 90s, 5m or 1h']);
}

function findService([service]: readonly string[]): string {
  if (service === undefined) throw new UsageError(['name the service']);
  return service;
}

function describePercent(share: number): string {
  return `${Number((share * 100).toPrecision(3))} %`;
}

/** Lines that tell the share, the verdict with its reason, and the answers that it is based on. */
function describeRollout({ pool, version, phase, share, reason, evidence }: Rollout): string[] {
  const state = phase === 'rolledBack' ? 'rolled back' : phase;
  const because = reason === undefined ? '' : `: ${reason}`;
  const counts = (evidence ?? []).flatMap(({ route, previous, next }) =>
    Object.entries({ old: previous, new: next }).map(
      ([side, { answers, bad, slow = 0 }]) =>
        `  ${route}, ${side} version: ${answers} answers, ${bad} failed, ${slow} slow`,
    ),
  );
  const title = counts.length === 0 ? [] : ['answers at the last step:'];
  return [
    `${pool} to ${version}: ${state}${because}`,
    `share of the new version: ${describePercent(share)}`,
    ...title,
    ...counts,
  ];
}

function printRollout({ json, print }: CommandContext, rollout: Rollout): number {
  if (json) print(JSON.stringify(rollout));
  else describeRollout(rollout).forEach(print);
  return exitCodes.done;
}

export class RolloutStartCommand extends Command {
  override readonly name = 'rollout start';

  override readonly usage = 'SERVICE VERSION';

  override readonly purpose = 'moves the requests of a service to another version, step by step';

  override readonly example = 'hornbeampondctl rollout start drafting 2026.2 --within 5m';

  override readonly options = {
    within: { type: 'string', purpose: `until when it is to be done (${DEFAULT_WITHIN})` },
  } as const;

  override async run(context: CommandContext): Promise<number> {
    const { client, positionals, options } = context;
    const service = findService(positionals);
    const [, version] = positionals;
    if (version === undefined) throw new UsageError(['name the version']);
    const withinSeconds = parseSeconds(String(options.within ?? DEFAULT_WITHIN));
    return printRollout(context, await client.startRollout(service, version, withinSeconds));
  }
}

export class RolloutStatusCommand extends Command {
  override readonly name = 'rollout status';

  override readonly usage = 'SERVICE';

  override readonly purpose = 'shows the latest roll-out of a service, its verdict and the reason';

  override readonly example = 'hornbeampondctl rollout status drafting';

  override async run(context: CommandContext): Promise<number> {
    const service = findService(context.positionals);
    return printRollout(context, await context.client.getRollout(service));
  }
}

export class RolloutBackCommand extends Command {
  override readonly name = 'rollout back';

  override readonly usage = 'SERVICE';

  override readonly purpose = 'takes back the roll-out of a service that is running';

  override readonly example = 'hornbeampondctl rollout back drafting';

  override async run(context: CommandContext): Promise<number> {
    const service = findService(context.positionals);
    return printRollout(context, await context.client.takeRolloutBack(service));
  }
}

export const rolloutCommands: readonly Command[] = [
  new RolloutStartCommand(),
  new RolloutStatusCommand(),
  new RolloutBackCommand(),
];
