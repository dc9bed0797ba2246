import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Logger, Metrics } from '@hornbeampond/runtime';
import { ManualTimerService } from '@hornbeampond/testing';
import { LeaderlessReports, type ClusterPart } from './LeaderlessReports.js';

const lost: ClusterPart = {
  isInOrder: false,
  isReadOnly: false,
  isVoter: false,
  voterCount: 0,
  leader: undefined,
  fields: { member: 'none', connected: ['store-2'] },
};
const inOrder: ClusterPart = {
  ...lost,
  isInOrder: true,
  isVoter: true,
  voterCount: 3,
  leader: 'store-2',
  fields: { member: 'voter', connected: ['store-2'] },
};
const readOnly: ClusterPart = {
  ...inOrder,
  isInOrder: false,
  isReadOnly: true,
  fields: { member: 'voter', readOnly: true, diskFailure: 'ENOSPC' },
};

function makeReports(first: ClusterPart) {
  const timers = new ManualTimerService();
  const metrics = new Metrics();
  const lines: Record<string, unknown>[] = [];
  const logger = new Logger({ process: 'test', instance: 'store-1' }, 'info', (line) => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  const view = { part: first };
  const reports = new LeaderlessReports({
    timers,
    logger,
    metrics,
    electionTimeout: 300,
    readPart: () => view.part,
  });
  reports.start();
  return { timers, metrics, lines, view, reports };
}

// Guards against a store with an empty disk that waits for ever and logs nothing.
test('a store that was never told of a leader says so, and at a bounded rate', () => {
  const { timers, lines, reports } = makeReports(lost);
  timers.advance(1100);
  assert.equal(lines.length, 0);
  timers.advance(8900);
  assert.ok(lines.length >= 3 && lines.length <= 5, `${lines.length} lines`);
  assert.ok(lines.every(({ event, level }) => event === 'storeLeaderless' && level === 'warn'));
  assert.deepEqual([lines[0]?.duration, lines[0]?.member], [1200, 'none']);
  reports.stop();
  timers.advance(10_000);
  assert.ok(lines.length <= 5);
});

// Guards against a log whose end does not tell whether the state lasts.
test('the end is written once, and short times without a leader are not written', () => {
  const { timers, lines, view } = makeReports(lost);
  timers.advance(1500);
  view.part = inOrder;
  timers.advance(3000);
  assert.deepEqual(
    lines.map(({ event, leader }) => [event, leader]),
    [
      ['storeLeaderless', undefined],
      ['storeLeaderKnown', 'store-2'],
    ],
  );
  view.part = lost;
  timers.advance(900);
  view.part = inOrder;
  timers.advance(900);
  assert.equal(lines.length, 2);
});

// Guards against a read-only store that says nothing because it remembers an earlier leader.
test('a read-only store says so although it remembers a leader', async () => {
  const { timers, lines, metrics } = makeReports(readOnly);
  timers.advance(1500);
  const [line] = lines;
  assert.deepEqual(
    [line?.event, line?.leader, line?.diskFailure],
    ['storeLeaderless', 'store-2', 'ENOSPC'],
  );
  const text = await metrics.toPrometheusText();
  assert.match(text, /^hornbeampond_store_read_only 1$/m);
  assert.match(text, /^hornbeampond_store_is_voter 1$/m);
  assert.match(text, /^hornbeampond_store_voters 3$/m);
  assert.match(text, /^hornbeampond_store_leaderless_seconds 0$/m);
});
