/** `npm run measure -- NAME [--json] [--seed N]`: runs one measurement and prints its figures. */
import { parseArgs } from 'node:util';
import { findMeasurement, measurements } from './capacity/measurements.js';
import { lossesUsage, reportLosses } from './losses/reportLosses.js';
import { printResult } from './capacity/printResult.js';
import { runMeasurement } from './capacity/runMeasurement.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;
const DEFAULT_SEED = '1';

function printHelp(): string {
  const width = Math.max(...measurements.map(({ name }) => name.length));
  const lines = measurements.map(({ name, summary }) => `  ${name.padEnd(width)}  ${summary}`);
  const usage = 'Usage: npm run measure -- NAME [--json] [--seed N]';
  return [usage, '', ...lines, `  ${lossesUsage}`].join('\n');
}

function readArguments() {
  return parseArgs({
    allowPositionals: true,
    options: {
      help: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
      seed: { type: 'string', default: DEFAULT_SEED },
    },
  });
}

function refuse(reason: string): number {
  console.error(`${reason}\n\n${printHelp()}`);
  return EXIT_USAGE;
}

async function measure(name: string, seed: number, json: boolean): Promise<number> {
  const measurement = findMeasurement(name);
  if (measurement === undefined) return refuse(`There is no measurement "${name}"`);
  const progress = (text: string) => console.error(`${name}: ${text}`);
  try {
    const { run, result } = await runMeasurement(measurement, { seed, progress });
    console.log(json ? JSON.stringify({ run, ...result }, null, 2) : printResult(run, result));
    if (result.violation === undefined) return 0;
    console.error(`${name}: ${result.violation}`);
    return EXIT_FAILED;
  } catch (error) {
    console.error(`${name} failed: ${String(error)}`);
    return EXIT_FAILED;
  }
}

function measureLosses(words: readonly string[]): number {
  try {
    reportLosses(words);
    return 0;
  } catch (error) {
    return refuse(`losses: ${String(error)}`);
  }
}

async function main(): Promise<number> {
  const [command, ...words] = process.argv.slice(2);
  if (command === 'losses') return measureLosses(words);
  let parsed: ReturnType<typeof readArguments>;
  try {
    parsed = readArguments();
  } catch (error) {
    return refuse(String(error));
  }
  const { values, positionals } = parsed;
  if (values.help) {
    console.log(printHelp());
    return 0;
  }
  const [name, ...rest] = positionals;
  const seed = Number(values.seed);
  if (name === undefined || rest.length > 0) return refuse('Name one measurement');
  if (!Number.isSafeInteger(seed)) return refuse('--seed takes a whole number');
  return measure(name, seed, values.json);
}

// Ends at once, so that whatever a measurement that ran out of time has started ends with it.
process.once('SIGINT', () => process.exit(EXIT_INTERRUPTED));
process.once('SIGTERM', () => process.exit(EXIT_INTERRUPTED));
process.exit(await main());
