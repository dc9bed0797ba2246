/**
 * Writes log lines and ends at once; the arguments are their number, the characters that each holds
 * beside its other fields, and a file to open before.
 */
import { open } from 'node:fs/promises';
import { endProcess } from '../endProcess.js';
import { Logger, writeErrorLine } from '../Logger.js';
import { settlesWithin } from '../settlesWithin.js';

const OPEN_MILLISECONDS = 200;

const [lines = '0', characters = '0', file] = process.argv.slice(2);
const filler = 'x'.repeat(Number(characters));

const logger = new Logger({ process: 'ending', instance: 'ending-1' }, 'info');
for (let number = 0; number < Number(lines); number += 1) {
  logger.write('shutdownStarted', { number, filler });
}
writeErrorLine('ending: failed');
const opened =
  file === undefined ? undefined : await settlesWithin(open(file, 'w'), OPEN_MILLISECONDS);
await endProcess(1, opened?.type === 'timedOut');
