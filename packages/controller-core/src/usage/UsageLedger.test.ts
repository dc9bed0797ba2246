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

test('the newest report of each start of an entry counts, and none twice', () => {
  const ledger = new UsageLedger();
  ledger.receive(report({ begun: { 7: { laden: 3 } } }));
  ledger.receive(report({ begun: { 7: { laden: 5 } } }));
  ledger.receive(report({ instance: 'entry-2', begun: { 7: { laden: 2, kunde: 1 } } }));
  assert.deepEqual(ledger.total(7), { kunde: 1, laden: 7 });
});

// The platform is told less than has run if an entry that is killed takes its counts with it. Its
// last report was heard; the restarted entry begins at nothing under another incarnation.
test('what an entry began before it was restarted still counts', () => {
  const ledger = new UsageLedger();
  ledger.receive(report({ begun: { 7: { laden: 5 } } }));
  ledger.receive(report({ incarnation: 2, begun: { 7: { laden: 1 } } }));
  assert.deepEqual(ledger.total(7), { laden: 6 });
});

test('a window that nobody reported has no counts', () => {
  assert.deepEqual(new UsageLedger().total(3), {});
});

// Counts come with reports and between them, through two stores; an older word may come last.
test('an older word of the same start takes nothing away', () => {
  const ledger = new UsageLedger();
  ledger.receive({ instance: 'entry-1', incarnation: 1, begun: { 7: { laden: 5, kunde: 2 } } });
  ledger.receive(report({ begun: { 7: { laden: 3 } } }));
  assert.deepEqual(ledger.total(7), { kunde: 2, laden: 5 });
});
