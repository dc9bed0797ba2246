import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntryReport } from '@hornbeampond/schema';
import { UsageLedger } from './UsageLedger.js';

function report(fields: Partial<EntryReport>): EntryReport {
  return {
    type: 'entryReport',
    instance: 'entry-1',
    dataCentre: 'wien-a',
    incarnation: 1,
    sequence: 1,
    leaving: false,
    revision: 1,
    inProgress: {},
    leavingBackendServers: {},
    suspects: [],
    ...fields,
  };
}

test('each run of an entry counts once, with its newest report', () => {
  const ledger = new UsageLedger();
  ledger.receive(report({ begun: { 7: { laden: 3 } } }));
  ledger.receive(report({ begun: { 7: { laden: 5 } } }));
  ledger.receive(report({ instance: 'entry-2', begun: { 7: { laden: 2, kunde: 1 } } }));
  assert.deepEqual(ledger.total(7), { kunde: 1, laden: 7 });
});

// Guards against losing the counts of an entry that was killed; the restarted entry counts from 0
// under a new incarnation.
test('counts from before a restart of an entry still count', () => {
  const ledger = new UsageLedger();
  ledger.receive(report({ begun: { 7: { laden: 5 } } }));
  ledger.receive(report({ incarnation: 2, begun: { 7: { laden: 1 } } }));
  assert.deepEqual(ledger.total(7), { laden: 6 });
});

test('a window without reports has no counts', () => {
  assert.deepEqual(new UsageLedger().total(3), {});
});

// Guards against lower counts when messages arrive out of order: counts are sent in reports and
// between them, through two stores.
test('an older message of the same run lowers no count', () => {
  const ledger = new UsageLedger();
  ledger.receive({ instance: 'entry-1', incarnation: 1, begun: { 7: { laden: 5, kunde: 2 } } });
  ledger.receive(report({ begun: { 7: { laden: 3 } } }));
  assert.deepEqual(ledger.total(7), { kunde: 2, laden: 5 });
});
