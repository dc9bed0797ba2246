/** Tests of what is logged and counted of rows of the list of instances that are skipped. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { SkippedInstanceReport } from '@hornbeampond/adapters';
import { Logger, Metrics } from '@hornbeampond/runtime';
import { ManualTimerService } from '../ManualTimerService.js';

const SECOND = 1000;
const MINUTE = 60 * SECOND;

interface Line {
  readonly event: string;
  readonly skipped: number;
  readonly reasons: Readonly<Record<string, number>>;
  readonly names: readonly string[];
}

let lines: Line[];
let timers: ManualTimerService;
let metrics: Metrics;
let report: SkippedInstanceReport;

beforeEach(() => {
  lines = [];
  timers = new ManualTimerService();
  metrics = new Metrics();
  const writeLine = (line: string) => lines.push(JSON.parse(line) as Line);
  const logger = new Logger({ process: 'test', instance: 'test' }, 'warn', writeLine);
  report = new SkippedInstanceReport({ timers, logger, metrics });
});

// Guards against a log line that says that rows were skipped and not why.
test('a reading that skips rows is logged with its reasons and names', () => {
  report.record([
    { reason: 'address', name: 'i-1' },
    { reason: 'bytes' },
    { reason: 'address', name: 'i-2' },
  ]);
  const [line] = lines;
  assert.equal(line?.event, 'instancesUnreadable');
  assert.deepEqual(
    [line.skipped, line.reasons, line.names],
    [3, { address: 2, bytes: 1 }, ['i-1', 'i-2']],
  );
});

// Guards against a line each second for a row that stays in the list, also one that is not in each reading.
test('the same rows are logged once a minute', () => {
  for (let second = 0; second < 60; second += 1) {
    report.record(second % 3 === 1 ? [] : [{ reason: 'address', name: 'i-1' }]);
    timers.advance(SECOND);
  }
  assert.equal(lines.length, 1);
  report.record([{ reason: 'address', name: 'i-1' }]);
  assert.equal(lines.length, 2);
});

// Guards against a new odd row that goes unseen because another one was logged a moment ago.
test('another row, or another reason, is logged at once', () => {
  report.record([{ reason: 'address', name: 'i-1' }]);
  report.record([
    { reason: 'address', name: 'i-1' },
    { reason: 'address', name: 'i-2' },
  ]);
  report.record([{ reason: 'state', name: 'i-1' }]);
  assert.equal(lines.length, 3);
});

// Guards against memory and lines that grow with each row of a list of odd ones.
test('a line names few of many rows and counts all', () => {
  report.record(
    Array.from(
      { length: 10_000 },
      (_, number) => ({ reason: 'name', name: `i-${number}` }) as const,
    ),
  );
  assert.equal(lines[0]?.names.length, 5);
  assert.deepEqual(lines[0].reasons, { name: 10_000 });
});

// Guards against rows that are skipped and not counted once their line has been written.
test('rows are counted by reason at each reading', async () => {
  report.record([{ reason: 'address', name: 'i-1' }, { reason: 'bytes' }]);
  timers.advance(MINUTE / 2);
  report.record([{ reason: 'address', name: 'i-1' }]);
  const counted = await metrics.readCounter('unreadableInstances');
  assert.deepEqual([counted.address, counted.bytes], [2, 1]);
});
