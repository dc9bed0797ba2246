import assert from 'node:assert/strict';
import { test } from 'node:test';
import { plotLosses } from './plotLosses.js';
import { readDayLog } from './readDayLog.js';
import { tabulateLosses } from './tabulateLosses.js';
import { traceRequests } from './traceRequests.js';

const MOST_PAUSE = 500;

function line(second: number, event: string, requestId: string, fields: object = {}): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, 0, second * 1000)).toISOString();
  return `  ${second} front-1 ${JSON.stringify({ time, event, requestId, ...fields })}`;
}

function accepted(second: number, requestId: string, tokens = 10): string {
  return line(second, 'requestAccepted', requestId, { route: 'drafts', workspace: 'w', tokens });
}

const due = { firstTokenDueIn: 600 };

const log = [
  accepted(0, 'good'),
  line(0.1, 'attemptStarted', 'good'),
  line(1, 'requestFinished', 'good', { firstTokenIn: 200, ...due }),
  accepted(0, 'waited', 90),
  line(1, 'attemptStarted', 'waited'),
  line(2, 'requestFinished', 'waited', { firstTokenIn: 1200, ...due }),
  accepted(1, 'engine'),
  line(1.1, 'attemptStarted', 'engine'),
  line(3, 'requestFinished', 'engine', { firstTokenIn: 1200, ...due }),
  accepted(1, 'again'),
  line(1.1, 'attemptStarted', 'again'),
  line(1.8, 'attemptFailed', 'again'),
  line(1.9, 'attemptStarted', 'again'),
  line(3, 'requestFinished', 'again', { firstTokenIn: 1000, ...due }),
  accepted(2, 'paused'),
  line(2.1, 'attemptStarted', 'paused'),
  line(4, 'requestFinished', 'paused', { firstTokenIn: 200, longestPause: 800, ...due }),
  line(2, 'requestRefused', 'spent', { route: 'drafts', workspace: 'w', kind: 'allowanceSpent' }),
  accepted(2, 'broken'),
  line(3, 'requestFailed', 'broken', { kind: 'backendServerFailed' }),
  accepted(3, 'left'),
  line(4, 'callerGone', 'left'),
  '  4 front-1 {"time":"2026-01-01T00:00:04.000Z","event":"requestFin',
].join('\n');

const traces = traceRequests(readDayLog(log), MOST_PAUSE);

// Guards against an account that names no reason, or another one than the longest part of the way.
test('each request that was lost has the reason that its lines show', () => {
  const reasons = traces.map(({ requestId, outcome, reason }) => [requestId, outcome, reason]);
  assert.deepEqual(reasons, [
    ['good', 'inTime', ''],
    ['waited', 'late', 'waited for a backend server'],
    ['engine', 'late', 'waited at the backend server'],
    ['again', 'late', 'an attempt had failed'],
    ['paused', 'late', 'paused in the middle'],
    ['spent', 'refused', 'allowanceSpent'],
    ['broken', 'failed', 'backendServerFailed'],
    ['left', 'unfinished', 'caller gone'],
  ]);
});

test('losses are counted by second, size and route, and each request once', () => {
  const counted = (['second', 'size', 'route'] as const).map((criterion) =>
    tabulateLosses(traces, criterion).map(({ group, all, counts }) => [
      group.trim(),
      all,
      all - counts.inTime,
    ]),
  );
  assert.deepEqual(counted, [
    [
      ['0', 2, 1],
      ['1', 2, 2],
      ['2', 3, 3],
      ['3', 1, 1],
    ],
    [
      ['others', 5, 5],
      ['largest tenth', 1, 1],
      ['next fifth', 2, 1],
    ],
    [['drafts', 8, 7]],
  ]);
});

test('the plot has a bar for each second', () => {
  assert.equal(plotLosses(traces).match(/second \d+: \d+ late/g)?.length, 4);
});
