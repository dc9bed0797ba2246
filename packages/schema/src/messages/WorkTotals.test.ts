import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerWork, WorkReport } from './entryMessages.js';
import { WorkTotals } from './WorkTotals.js';

const idle: ServerWork = { inProgress: 0, promptTokens: 0 };

function work(inProgress: number): ServerWork {
  return { inProgress, promptTokens: 100 * inProgress };
}

function makeReport(fields: Partial<WorkReport>): WorkReport {
  return {
    type: 'workReport',
    instance: 'entry-1',
    incarnation: 1,
    sequence: 1,
    work: {},
    isWhole: true,
    computed: {},
    ...fields,
  };
}

test('only changed sums are taken, with the reports that they include', () => {
  const totals = new WorkTotals();
  totals.apply(makeReport({ work: { a: work(2), b: work(1) } }));
  totals.apply(makeReport({ instance: 'entry-2', sequence: 7, work: { a: work(3) } }));
  assert.deepEqual(totals.takeChanges(), {
    work: { servers: ['a', 'b'], inProgress: [5, 1], promptTokens: [500, 100] },
    included: { 'entry-1': 1, 'entry-2': 7 },
  });
  assert.equal(totals.takeChanges(), undefined);
  totals.apply(makeReport({ sequence: 2, work: { a: work(2) } }));
  assert.deepEqual(totals.takeChanges(), {
    work: { servers: ['b'], inProgress: [0], promptTokens: [0] },
    included: { 'entry-1': 2 },
  });
});

// Reports can overtake each other on two connections. Guards against work that never ends.
test('a report that arrives after a later one is ignored', () => {
  const totals = new WorkTotals();
  totals.apply(makeReport({ sequence: 2, work: { a: work(1) } }));
  totals.apply(makeReport({ sequence: 1, work: { a: work(4) } }));
  assert.deepEqual(totals.at('a'), work(1));
});

// Entries of an older version list only the servers at which their work has changed.
test('a report that is not whole leaves the work that it does not list', () => {
  const totals = new WorkTotals();
  const { sequence, isWhole, ...older } = makeReport({ work: { a: work(1) } });
  totals.apply(older);
  totals.apply({ ...older, work: { b: work(2) } });
  assert.deepEqual([totals.at('a'), totals.at('b')], [work(1), work(2)]);
  totals.apply({ ...older, work: { a: idle } });
  assert.deepEqual(totals.at('a'), idle);
});

// Guards against engines that look busy with the requests of an entry that has restarted or left.
test('the work of an earlier incarnation and of a removed entry is gone', () => {
  const totals = new WorkTotals();
  totals.apply(makeReport({ sequence: 9, work: { a: work(4) } }));
  totals.apply(makeReport({ incarnation: 2, sequence: 1, work: { b: work(1) } }));
  totals.apply(makeReport({ sequence: 10, work: { a: work(4) } }));
  assert.deepEqual([totals.at('a'), totals.at('b')], [idle, work(1)]);
  totals.remove('entry-1');
  assert.deepEqual(totals.at('b'), idle);
  assert.deepEqual(totals.describeAll().included, {});
});
