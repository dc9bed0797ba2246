/** What every verb of the command line is made of. */
import type { TimerService } from '@hornbeampond/runtime';
import type { OperatorClient } from './OperatorClient.js';
import type { Paint } from './paint.js';

/** Options that every verb takes. */
export interface OutputOptions {
  readonly json: boolean;
  /** Where the output goes, a line at a time. */
  print(line: string): void;
}

export interface CommandContext extends OutputOptions {
  readonly client: OperatorClient;
  readonly timers: TimerService;
  /** Colours text if the output is a terminal. */
  readonly paint: Paint;
  /** Values of the verb's own options. */
  readonly options: Readonly<Record<string, string | boolean | undefined>>;
  /** Words after the verb. */
  readonly positionals: readonly string[];
}

/** Bad input on the command line or in a file; nothing was changed. */
export class UsageError extends Error {
  constructor(readonly lines: readonly string[]) {
    super(lines.join('\n'));
  }
}

export abstract class Command {
  /** As typed, such as `tables put`. */
  abstract readonly name: string;

  /** Words after the name, such as `TABLE FILE`. */
  abstract readonly usage: string;

  abstract readonly purpose: string;

  abstract readonly example: string;

  /** The verb's own options, with what each is for. */
  readonly options: Readonly<Record<string, { type: 'string' | 'boolean'; purpose: string }>> = {};

  /** Carries the verb out and returns its exit code. */
  abstract run(context: CommandContext): Promise<number>;
}
