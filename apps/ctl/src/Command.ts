/** The base class of the commands of the command line, their context and their usage error. */
import type { TimerService } from '@hornbeampond/runtime';
import type { OperatorClient } from './OperatorClient.js';
import type { Paint } from './paint.js';

/** How a command writes its output. */
export interface OutputOptions {
  readonly json: boolean;
  /** Prints one line of output. */
  print(line: string): void;
}

export interface CommandContext extends OutputOptions {
  readonly client: OperatorClient;
  readonly timers: TimerService;
  /** Colours text where colours are enabled; else returns it unchanged. */
  readonly paint: Paint;
  /** Values of the options, both the command's own and the common ones. */
  readonly options: Readonly<Record<string, string | boolean | undefined>>;
  /** Positional arguments after the name of the command. */
  readonly positionals: readonly string[];
}

/** Invalid input on the command line or in a file, found before anything was changed. */
export class UsageError extends Error {
  constructor(readonly lines: readonly string[]) {
    super(lines.join('\n'));
  }
}

export abstract class Command {
  /** As typed, such as `tables put`. */
  abstract readonly name: string;

  /** Positional arguments, such as `TABLE FILE`. */
  abstract readonly usage: string;

  abstract readonly purpose: string;

  abstract readonly example: string;

  /** The command's own options, with the help text of each. */
  readonly options: Readonly<Record<string, { type: 'string' | 'boolean'; purpose: string }>> = {};

  /** Runs the command and returns its exit code. */
  abstract run(context: CommandContext): Promise<number>;
}
