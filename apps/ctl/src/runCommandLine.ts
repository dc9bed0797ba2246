/** Parses a command line, runs its command and maps errors to exit codes. */
import { parseArgs } from 'node:util';
import { exitCodes, SystemTimerService, version, type TimerService } from '@hornbeampond/runtime';
import { UsageError, type Command } from './Command.js';
import { OperatorClient, ProblemError } from './OperatorClient.js';
import { planCommands } from './commands/plan.js';
import { rolloutCommands } from './commands/rollouts.js';
import { statusCommands } from './commands/status.js';
import { storeCommands } from './commands/stores.js';
import { tableCommands } from './commands/tables.js';
import { choosePaint } from './paint.js';

export const commands: readonly Command[] = [
  ...tableCommands,
  ...statusCommands,
  ...planCommands,
  ...rolloutCommands,
  ...storeCommands,
];

const DEFAULT_ENTRY_URL = 'http://127.0.0.1:9080';

const commonOptions = {
  entry: {
    type: 'string',
    purpose: 'operators’ port of an entry; else HORNBEAMPOND_ENTRY is used',
  },
  key: { type: 'string', purpose: 'operator key; else HORNBEAMPOND_OPERATOR_KEY is used' },
  json: { type: 'boolean', purpose: 'prints JSON' },
  help: { type: 'boolean', purpose: 'prints this text, or that of a command' },
  version: { type: 'boolean', purpose: 'prints the version' },
} as const;

export interface CommandLineIo {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** True if the output is a terminal, so that it may be coloured. */
  readonly isTerminal: boolean;
  /** Timers for waits and pauses; those of the system by default. */
  readonly timers?: TimerService;
  print(line: string): void;
  printError(line: string): void;
}

function describeOptions(options: Command['options']): string[] {
  return Object.entries(options).map(
    ([name, { type, purpose }]) =>
      `  --${name}${type === 'string' ? ' VALUE' : ''}`.padEnd(22) + purpose,
  );
}

function formatCommandHelp(command: Command): string[] {
  return [
    `hornbeampondctl ${command.name} ${command.usage}`.trimEnd(),
    '',
    `  ${command.purpose}`,
    '',
    ...describeOptions({ ...command.options, ...commonOptions }),
    '',
    `example: ${command.example}`,
  ];
}

function formatHelp(): string[] {
  return [
    'hornbeampondctl: edits the tables, rolls out versions, manages the stores and shows the status',
    '',
    ...commands.map((command) => `  ${command.name} ${command.usage}`.padEnd(36) + command.purpose),
    '',
    ...describeOptions(commonOptions),
    '',
    'exit codes: 0 done, 1 failed, 2 invalid input (nothing changed),',
    '            3 another change was made first, 4 not in force in time',
    `without --entry and HORNBEAMPOND_ENTRY, ${DEFAULT_ENTRY_URL} is used`,
  ];
}

/** The arguments of a command line without options and their values. */
function findPositionals(commandLineArguments: readonly string[]): string[] {
  const options = Object.assign({}, commonOptions, ...commands.map((command) => command.options));
  return parseArgs({
    args: [...commandLineArguments],
    options,
    allowPositionals: true,
    strict: false,
  }).positionals;
}

function findCommand(positionals: readonly string[]): Command | undefined {
  return commands.find((command) =>
    command.name.split(' ').every((word, position) => positionals[position] === word),
  );
}

function reportError(error: unknown, { printError }: CommandLineIo): number {
  if (error instanceof UsageError) {
    error.lines.forEach(printError);
    return exitCodes.badInput;
  }
  if (error instanceof ProblemError) {
    printError(`${error.problem.kind}: ${error.message}`);
    error.faults.forEach(({ where, reason }) => printError(`  ${where}: ${reason}`));
    return error.problem.kind === 'tableInvalid' ? exitCodes.badInput : exitCodes.failed;
  }
  printError(error instanceof Error ? error.message : String(error));
  return exitCodes.failed;
}

async function runCommand(
  command: Command,
  commandLineArguments: readonly string[],
  io: CommandLineIo,
) {
  const { values, positionals } = parseArgs({
    args: [...commandLineArguments],
    options: { ...commonOptions, ...command.options },
    allowPositionals: true,
  });
  const optionValues: Readonly<Record<string, string | boolean | undefined>> = values;
  if (optionValues.help === true) {
    formatCommandHelp(command).forEach(io.print);
    return exitCodes.done;
  }
  const key = optionValues.key ?? io.environment.HORNBEAMPOND_OPERATOR_KEY ?? '';
  const entry = optionValues.entry ?? io.environment.HORNBEAMPOND_ENTRY ?? DEFAULT_ENTRY_URL;
  const timers = io.timers ?? new SystemTimerService();
  const client = new OperatorClient(String(entry), String(key), timers);
  try {
    return await command.run({
      client,
      timers,
      paint: choosePaint(io.isTerminal, io.environment.NO_COLOR),
      options: optionValues,
      positionals: positionals.slice(command.name.split(' ').length),
      json: optionValues.json === true,
      print: io.print,
    });
  } finally {
    await client.close();
  }
}

/** Runs one command line and returns its exit code. */
export async function runCommandLine(
  commandLineArguments: readonly string[],
  io: CommandLineIo,
): Promise<number> {
  const positionals = findPositionals(commandLineArguments);
  const command = findCommand(positionals);
  try {
    if (command !== undefined) return await runCommand(command, commandLineArguments, io);
  } catch (error) {
    const isParseError = error instanceof TypeError && 'code' in error;
    return reportError(isParseError ? new UsageError([error.message]) : error, io);
  }
  if (commandLineArguments.includes('--version')) {
    io.print(`hornbeampondctl ${version}`);
    return exitCodes.done;
  }
  if (commandLineArguments.includes('--help') || commandLineArguments.length === 0) {
    formatHelp().forEach(io.print);
    return commandLineArguments.length === 0 ? exitCodes.badInput : exitCodes.done;
  }
  io.printError(`unknown command "${positionals.join(' ')}"; see "hornbeampondctl --help"`);
  return exitCodes.badInput;
}
