/**
 * The common parts of all long-running binaries: command line, settings file, exit codes, and
 * graceful shutdown on `SIGTERM` or `SIGINT`.
 */
import { parseArgs } from 'node:util';
import type { z } from 'zod';
import { endProcess } from './endProcess.js';
import { writeErrorLine } from './Logger.js';
import { readSettings } from './readSettings.js';

export const version = '0.1.0';

/** Exit codes of the binaries. */
export const exitCodes = { done: 0, failed: 1, badInput: 2 } as const;

/** A started process that can be shut down. */
export interface RunningProcess {
  /** Shuts the process down gracefully; resolves when it has no more work. */
  shutDown(): Promise<void>;
}

export interface Binary<Schema extends z.ZodType> {
  readonly name: string;
  /** One sentence for `--help`. */
  readonly purpose: string;
  readonly schema: Schema;
  start(settings: z.infer<Schema>): Promise<RunningProcess>;
}

function printHelp(binary: { readonly name: string; readonly purpose: string }): void {
  process.stdout.write(
    [
      `${binary.name}: ${binary.purpose}`,
      '',
      `Usage: ${binary.name} --settings FILE [--check]`,
      '',
      '  --settings FILE  the TOML settings file (docs/SETTINGS.md lists its keys)',
      '  --check          only check the file: exit 0 if it is good, 2 if not',
      '  --version        print the version',
      '  --help           print this text',
      '',
    ].join('\n'),
  );
}

/** Prints lines to standard error and sets the exit code for bad input. */
export function failWithBadInput(lines: readonly string[]): void {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = exitCodes.badInput;
}

function parseCommandLine(name: string) {
  try {
    return parseArgs({
      options: {
        settings: { type: 'string' },
        check: { type: 'boolean', default: false },
        version: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    }).values;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    failWithBadInput([`${name}: ${reason}`, `see "${name} --help"`]);
    return undefined;
  }
}

/** Runs a binary with the command line of the process until a signal ends it. */
export async function runBinary<Schema extends z.ZodType>(binary: Binary<Schema>): Promise<void> {
  const options = parseCommandLine(binary.name);
  if (options === undefined) return;
  if (options.help) {
    printHelp(binary);
    return;
  }
  if (options.version) {
    process.stdout.write(`${binary.name} ${version}\n`);
    return;
  }
  if (options.settings === undefined) {
    failWithBadInput([`${binary.name}: --settings FILE is missing`, `see "${binary.name} --help"`]);
    return;
  }
  const result = readSettings(binary.schema, options.settings);
  if (!result.ok) {
    failWithBadInput(
      result.faults.map((fault) => `${options.settings}: ${fault.where}: ${fault.reason}`),
    );
    return;
  }
  if (options.check) {
    process.stdout.write(`${options.settings}: good\n`);
    return;
  }
  await serveUntilSignal(binary, result.settings);
}

async function serveUntilSignal<Schema extends z.ZodType>(
  binary: Binary<Schema>,
  settings: z.infer<Schema>,
): Promise<void> {
  let running: RunningProcess;
  try {
    running = await binary.start(settings);
  } catch (error) {
    writeErrorLine(`${binary.name}: ${error instanceof Error ? error.message : error}`);
    await endProcess(exitCodes.failed);
    return;
  }
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void running
      .shutDown()
      .then(
        () => exitCodes.done,
        (error: unknown) => {
          writeErrorLine(`${binary.name}: ${String(error)}`);
          return exitCodes.failed;
        },
      )
      .then(async (code) => endProcess(code));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
