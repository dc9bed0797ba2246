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
  ledger.receive(report({ begun: { 7: { workspaceB: 3 } } }));
  ledger.receive(report({ begun: { 7: { workspaceB: 5 } } }));
  ledger.receive(report({ instance: 'entry-2', begun: { 7: { workspaceB: 2, workspaceA: 1 } } }));
  assert.deepEqual(ledger.total(7), { workspaceA: 1, workspaceB: 7 });
});

// Guards against losing the counts of an entry that was killed; the restarted entry counts from 0
// under a new incarnation.
test('counts from before a restart of an entry still count', () => {
  const ledger = new UsageLedger();
  ledger.receive(report({ begun: { 7: { workspaceB: 5 } } }));
  ledger.receive(report({ incarnation: 2, begun: { 7: { workspaceB: 1 } } }));
  assert.deepEqual(ledger.total(7), { workspaceB: 6 });
});

test('a window without reports has no counts', () => {
  assert.deepEqual(new UsageLedger().total(3), {});
});

// Guards against an older message replacing newer counts. Counts arrive in reports and in
// separate usage messages, over two stores, so they may arrive out of order.
test('an older message of the same run lowers no count', () => {
  const ledger = new UsageLedger();
  ledger.receive({
    instance: 'entry-1',
    incarnation: 1,
    begun: { 7: { workspaceB: 5, workspaceA: 2 } },
  });
  ledger.receive(report({ begun: { 7: { workspaceB: 3 } } }));
  assert.deepEqual(ledger.total(7), { workspaceA: 2, workspaceB: 5 });
});
