/** `npm run measure -- losses FILE...`: what became of the requests of logged days, and why. */
import { readFileSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { formatTable } from '../capacity/formatTable.js';
import { plotLosses } from './plotLosses.js';
import { readDayLog } from './readDayLog.js';
import { tabulateLosses, type LossCriterion } from './tabulateLosses.js';
import { traceRequests, type RequestTrace } from './traceRequests.js';

export const lossesUsage =
  'losses [--pause MILLISECONDS] [--seconds] [--plot PAGE.html] FILE...  what logged requests lost, and why';

const criteria: readonly LossCriterion[] = ['reason', 'route', 'workspace', 'size'];

const DEFAULT_PAUSE = '500';

function printTable(traces: readonly RequestTrace[], criterion: LossCriterion): void {
  const rows = tabulateLosses(traces, criterion).map(({ group, all, counts }) => ({
    [criterion]: group,
    requests: all,
    ...counts,
    lost: (all - counts.inTime) / all,
  }));
  console.log(`${formatTable(rows)}\n`);
}

export function reportLosses(words: readonly string[]): void {
  const { values, positionals } = parseArgs({
    args: [...words],
    allowPositionals: true,
    options: {
      pause: { type: 'string', default: DEFAULT_PAUSE },
      seconds: { type: 'boolean', default: false },
      plot: { type: 'string' },
    },
  });
  const mostPause = Number(values.pause);
  if (positionals.length === 0) throw new TypeError('Name the files that hold the log lines');
  if (!(mostPause > 0)) throw new TypeError('--pause takes a number of milliseconds above 0');
  const lines = positionals.flatMap((file) => readDayLog(readFileSync(file, 'utf8')));
  const traces = traceRequests(lines, mostPause);
  if (traces.length === 0) throw new TypeError('The files hold no line about a request');
  criteria.forEach((criterion) => printTable(traces, criterion));
  if (values.seconds) printTable(traces, 'second');
  if (values.plot !== undefined) writeFileSync(values.plot, plotLosses(traces));
}
