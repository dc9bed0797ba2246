import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerWork, WorkReport } from '@hornbeampond/schema';
import { WorkReports } from './WorkReports.js';

function makeReport(
  instance: string,
  work: Record<string, ServerWork>,
  incarnation = 1,
): WorkReport {
  return { type: 'workReport', instance, incarnation, work, computed: {} };
}

const busy: ServerWork = { inProgress: 2, promptTokens: 5000 };
const idle: ServerWork = { inProgress: 0, promptTokens: 0 };

test('the work of all peers at a backend server is added up and follows their reports', () => {
  const work = new WorkReports();
  work.applyReport(makeReport('entry-2', { engine: busy }));
  work.applyReport(makeReport('entry-3', { engine: { inProgress: 1, promptTokens: 0 } }));
  assert.deepEqual(work.peerWorkAt('engine'), { inProgress: 3, promptTokens: 5000 });
  work.applyReport(makeReport('entry-2', { engine: idle }));
  assert.deepEqual(work.peerWorkAt('engine'), { inProgress: 1, promptTokens: 0 });
  assert.deepEqual(work.peerWorkAt('another'), idle);
});

// A restarted entry has none of the calls that it reported before. If they were kept, the engines
// would look busy indefinitely.
test('the work of a restarted or removed peer is removed', () => {
  const work = new WorkReports();
  work.applyReport(makeReport('entry-2', { engine: busy }));
  work.applyReport(makeReport('entry-2', { other: busy }, 2));
  assert.deepEqual(work.peerWorkAt('engine'), idle);
  work.applyReport(makeReport('entry-2', { engine: busy }, 1));
  assert.deepEqual(work.peerWorkAt('engine'), idle);
  work.removePeerWork('entry-2');
  assert.deepEqual(work.peerWorkAt('other'), idle);
});

test('changes are reported together, and less often when there are many entries', () => {
  const work = new WorkReports();
  const takeDueReport = (entries: number, now: number) =>
    work.takeDueReport(entries, now, () => busy);
  assert.equal(takeDueReport(8, 0), undefined);
  work.markOwnWorkChanged('engine');
  work.recordPrefilledPrefixes('engine', ['a', 'b']);
  work.recordPrefilledPrefixes('engine', ['b']);
  assert.deepEqual(takeDueReport(8, 0), {
    work: { engine: busy },
    computed: { engine: ['a', 'b'] },
  });
  work.markOwnWorkChanged('engine');
  assert.equal(takeDueReport(8, 40), undefined);
  assert.equal(takeDueReport(80, 400), undefined);
  assert.deepEqual(takeDueReport(80, 500), { work: { engine: busy }, computed: {} });
});
