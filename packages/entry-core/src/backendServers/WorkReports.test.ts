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
    sequence: 1,
    work: { engine: busy },
    isWhole: true,
    computed: { engine: ['a', 'b'] },
  });
  work.markOwnWorkChanged('engine');
  assert.equal(takeDueReport(8, 40), undefined);
  assert.equal(takeDueReport(32, 190), undefined);
  assert.equal(takeDueReport(80, 240), undefined);
  assert.deepEqual(takeDueReport(80, 250), {
    sequence: 2,
    work: { engine: busy },
    isWhole: true,
    computed: {},
  });
});

// Guards against work that is seconds old where there are hundreds of entries: all of them would
// choose the same server.
test('with any number of entries, changes are reported within a quarter of a second', () => {
  const work = new WorkReports();
  work.markOwnWorkChanged('engine');
  work.takeDueReport(1, 0, () => busy);
  work.markOwnWorkChanged('engine');
  assert.notEqual(
    work.takeDueReport(700, 250, () => busy),
    undefined,
  );
});

// Guards against a server that looks busy for ever because its end of work was not reported.
test('a report lists servers without work once after their work has ended', () => {
  const work = new WorkReports();
  const present = new Map([['engine', busy]]);
  const readOwnWork = (server: string) => present.get(server) ?? idle;
  work.markOwnWorkChanged('engine');
  work.takeDueReport(1, 0, readOwnWork);
  present.clear();
  work.markOwnWorkChanged('other');
  assert.deepEqual(work.takeDueReport(1, 100, readOwnWork)?.work, { engine: idle, other: idle });
  work.markOwnWorkChanged('other');
  assert.deepEqual(work.takeDueReport(1, 200, readOwnWork)?.work, { other: idle });
});

function makeSums(inProgress: number, included: Record<string, number>) {
  return { work: { servers: ['engine'], inProgress: [inProgress], promptTokens: [0] }, included };
}

// Guards against counting this entry's own work twice: the sums of a store include it, but not what
// has changed since the report that the store knows.
test('own work is taken out of the sums as of the report that they include', () => {
  const work = new WorkReports();
  let own = 1;
  const takeOwnReport = (now: number) => {
    work.markOwnWorkChanged('engine');
    return work.takeDueReport(1, now, () => ({ inProgress: own, promptTokens: 0 }))?.sequence;
  };
  const first = takeOwnReport(0) ?? 0;
  work.applySums(makeSums(5, { 'entry-1': first }), true, 'entry-1', 10);
  assert.equal(work.peerWorkAt('engine').inProgress, 4);
  own = 3;
  const second = takeOwnReport(100) ?? 0;
  work.applySums(makeSums(6, {}), false, 'entry-1', 110);
  assert.equal(work.peerWorkAt('engine').inProgress, 5);
  work.applySums(makeSums(8, { 'entry-1': second }), false, 'entry-1', 120);
  assert.equal(work.peerWorkAt('engine').inProgress, 5);
});

test('sums are used for three seconds after the last digest', () => {
  const work = new WorkReports();
  assert.equal(work.ageOfSums(0), undefined);
  work.applySums(makeSums(5, {}), true, 'entry-1', 0);
  assert.equal(work.ageOfSums(3000), 3000);
  assert.equal(work.ageOfSums(3001), undefined);
});
